#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobTaskPhase.h"

namespace by {

/// Stored progress of one task.
class TaskProgress
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Current phase.
    JobTaskPhase mPhase{};
    /// Highest run number assigned so far; zero before the first run.
    std::uint32_t mRun{ 0 };
    /// Numbers of the failed runs, each once however often reported; a gang's members share them.
    std::vector<std::uint32_t> mFailedRuns{};
    /// Worker that the task is placed on; empty for none.
    std::string mWorker{};
    /// Start time of that worker's process, since 1970; zero while unknown.
    Time mWorkerProcessStart{};
    /// Newest checkpoint; empty for none.
    std::string mCheckpoint{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskProgress() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskProgress> Create(Fields aFields)
  {
    return TaskProgress(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Current phase.
  JobTaskPhase Phase() const { return mFields.mPhase; }
  /// @returns a copy of this value with another Phase.
  [[nodiscard]] TaskProgress WithPhase(JobTaskPhase aValue) const
  {
    auto copy = *this;
    copy.mFields.mPhase = std::move(aValue);
    return copy;
  }

  /// Highest run number assigned so far; zero before the first run.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns a copy of this value with another Run.
  [[nodiscard]] TaskProgress WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// Numbers of the failed runs, each once however often reported; a gang's members share them.
  const std::vector<std::uint32_t>& FailedRuns() const { return mFields.mFailedRuns; }
  /// @returns a copy of this value with another FailedRuns.
  [[nodiscard]] TaskProgress WithFailedRuns(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailedRuns = std::move(aValue);
    return copy;
  }

  /// Worker that the task is placed on; empty for none.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns a copy of this value with another Worker.
  [[nodiscard]] TaskProgress WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// Start time of that worker's process, since 1970; zero while unknown.
  Time WorkerProcessStart() const { return mFields.mWorkerProcessStart; }
  /// @returns a copy of this value with another WorkerProcessStart.
  [[nodiscard]] TaskProgress WithWorkerProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerProcessStart = std::move(aValue);
    return copy;
  }

  /// Newest checkpoint; empty for none.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns a copy of this value with another Checkpoint.
  [[nodiscard]] TaskProgress WithCheckpoint(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mCheckpoint = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
  friend auto operator<=>(const TaskProgress&, const TaskProgress&) = default;

private:
  explicit TaskProgress(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
