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

/// Sends a stop to a worker.
class StopRun
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// Where it takes orders.
    by::Endpoint mEndpoint{};
    /// The task.
    JobTaskKey mTask{};
    /// The number of the run.
    std::uint32_t mRun{ 0 };
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  StopRun() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<StopRun> Create(Fields aFields) { return StopRun(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] StopRun WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Where it takes orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns this value with another Endpoint.
  [[nodiscard]] StopRun WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// The task.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] StopRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] StopRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] StopRun WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
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
