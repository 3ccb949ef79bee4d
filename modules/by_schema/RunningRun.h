#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobTaskKey.h"

namespace by {

/// A task that runs.
class RunningRun
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The task.
    JobTaskKey mTask{};
    /// The number of the run.
    std::uint32_t mRun{ 0 };
    /// Its newest checkpoint.
    std::string mCheckpoint{};
    /// How much of its work is done, or 100 for a long-running task at work.
    std::uint32_t mPercent{ 0 };
    /// Tail of response times of a long-running task in ms; processor use of any other.
    std::int64_t mUtilization{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  RunningRun() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<RunningRun> Create(Fields aFields)
  {
    return RunningRun(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The task.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] RunningRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] RunningRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Its newest checkpoint.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns this value with another Checkpoint.
  [[nodiscard]] RunningRun WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  /// How much of its work is done, or 100 for a long-running task at work.
  std::uint32_t Percent() const { return mFields.mPercent; }
  /// @returns this value with another Percent.
  [[nodiscard]] RunningRun WithPercent(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPercent = std::move(aValue);
    return copy;
  }

  /// Tail of response times of a long-running task in ms; processor use of any other.
  std::int64_t Utilization() const { return mFields.mUtilization; }
  /// @returns this value with another Utilization.
  [[nodiscard]] RunningRun WithUtilization(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mUtilization = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RunningRun&, const RunningRun&) = default;
  friend auto operator<=>(const RunningRun&, const RunningRun&) = default;

private:
  explicit RunningRun(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
