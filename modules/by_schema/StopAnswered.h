#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobTaskKey.h"
#include "by_schema/OrderOutcome.h"

namespace by {

/// A stop order was answered, or timed out.
class StopAnswered
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mWorker{};
    /// Task of the run.
    JobTaskKey mTask{};
    /// Number of the run.
    std::uint32_t mRun{ 0 };
    /// Outcome of the order.
    OrderOutcome mOutcome{};
    /// Number of the order.
    std::uint64_t mNumber{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StopAnswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StopAnswered> Create(Fields aFields)
  {
    return StopAnswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] StopAnswered WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Task of the run.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] StopAnswered WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] StopAnswered WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Outcome of the order.
  OrderOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] StopAnswered WithOutcome(OrderOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Number of the order.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] StopAnswered WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StopAnswered&, const StopAnswered&) = default;
  friend auto operator<=>(const StopAnswered&, const StopAnswered&) = default;

private:
  explicit StopAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
