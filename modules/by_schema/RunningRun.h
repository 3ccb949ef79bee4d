#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/JobTaskKey.h"

namespace by {

/// A run in progress, as its worker reports it.
class RunningRun
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Task that runs.
    JobTaskKey mTask{};
    /// Number of the run.
    std::uint32_t mRun{ 0 };
    /// Newest checkpoint; empty for none.
    std::string mCheckpoint{};
    /// Share of its work that is done; 100 for a long-running task that is ready.
    std::uint32_t mPercent{ 0 };
    /// Tail response time of a long-running task in ms; processor use of any other task in
    /// millicores.
    std::int64_t mUtilization{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RunningRun() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RunningRun> Create(Fields aFields)
  {
    return RunningRun(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Task that runs.
  const JobTaskKey& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] RunningRun WithTask(JobTaskKey aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Number of the run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] RunningRun WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Newest checkpoint; empty for none.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns a copy of this value with another Checkpoint.
  [[nodiscard]] RunningRun WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  /// Share of its work that is done; 100 for a long-running task that is ready.
  std::uint32_t Percent() const { return mFields.mPercent; }
  /// @returns a copy of this value with another Percent.
  [[nodiscard]] RunningRun WithPercent(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPercent = std::move(aValue);
    return copy;
  }

  /// Tail response time of a long-running task in ms; processor use of any other task in
  /// millicores.
  std::int64_t Utilization() const { return mFields.mUtilization; }
  /// @returns a copy of this value with another Utilization.
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
