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

/// A change of speed was answered, or was given up.
class PaceAnswered
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The worker.
    std::string mWorker{};
    /// The task.
    JobTaskKey mTask{};
    /// The number of the run.
    std::uint32_t mRun{ 0 };
    /// What became of it.
    OrderOutcome mOutcome{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  PaceAnswered() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<PaceAnswered> Create(Fields aFields)
  {
    return PaceAnswered(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The worker.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] PaceAnswered WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// The task.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] PaceAnswered WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] PaceAnswered WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// What became of it.
  OrderOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] PaceAnswered WithOutcome(OrderOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PaceAnswered&, const PaceAnswered&) = default;
  friend auto operator<=>(const PaceAnswered&, const PaceAnswered&) = default;

private:
  explicit PaceAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
