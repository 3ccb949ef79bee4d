#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"
#include "by_schema/JobTaskKey.h"

namespace by {

/// Orders a worker to stop a run.
class StopRun
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Endpoint at which the worker accepts orders.
    by::Endpoint mEndpoint{};
    /// Task of the run.
    JobTaskKey mTask{};
    /// Number of the run.
    std::uint32_t mRun{ 0 };
    /// Epoch of the owner that sends the order.
    std::uint64_t mEpoch{ 0 };
    /// Number of the order: the epoch of its owner in the upper 32 bits; the lower ones are zero if
    /// the owner sends the order itself.
    std::uint64_t mNumber{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StopRun() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StopRun> Create(Fields aFields) { return StopRun(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] StopRun WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Endpoint at which the worker accepts orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] StopRun WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Task of the run.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] StopRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] StopRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner that sends the order.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] StopRun WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Number of the order: the epoch of its owner in the upper 32 bits; the lower ones are zero if
  /// the owner sends the order itself.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] StopRun WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StopRun&, const StopRun&) = default;
  friend auto operator<=>(const StopRun&, const StopRun&) = default;

private:
  explicit StopRun(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
