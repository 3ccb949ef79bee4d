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

/// What is known of one task.
class TaskProgress
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Where it stands.
    JobTaskPhase mPhase{};
    /// The highest number given to a run of it; zero before the first.
    std::uint32_t mRun{ 0 };
    /// The runs that ended by a fault, each once, however often a worker lists them.
    std::vector<std::uint32_t> mFailedRuns{};
    /// The worker that it is placed on; empty for none.
    std::string mWorker{};
    /// The start of that worker's process, since 1970; zero while unknown.
    Time mWorkerProcessStart{};
    /// Its newest checkpoint; empty for none.
    std::string mCheckpoint{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  TaskProgress() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<TaskProgress> Create(Fields aFields)
  {
    return TaskProgress(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Where it stands.
  JobTaskPhase Phase() const { return mFields.mPhase; }
  /// @returns this value with another Phase.
  [[nodiscard]] TaskProgress WithPhase(JobTaskPhase aValue) const
  {
    auto copy = *this;
    copy.mFields.mPhase = std::move(aValue);
    return copy;
  }

  /// The highest number given to a run of it; zero before the first.
  std::uint32_t Run() const { return mFields.mRun; }
  /// @returns this value with another Run.
  [[nodiscard]] TaskProgress WithRun(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRun = std::move(aValue);
    return copy;
  }

  /// The runs that ended by a fault, each once, however often a worker lists them.
  const std::vector<std::uint32_t>& FailedRuns() const { return mFields.mFailedRuns; }
  /// @returns this value with another FailedRuns.
  [[nodiscard]] TaskProgress WithFailedRuns(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailedRuns = std::move(aValue);
    return copy;
  }

  /// The worker that it is placed on; empty for none.
  const std::string& Worker() const { return mFields.mWorker; }
  /// @returns this value with another Worker.
  [[nodiscard]] TaskProgress WithWorker(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorker = std::move(aValue);
    return copy;
  }

  /// The start of that worker's process, since 1970; zero while unknown.
  Time WorkerProcessStart() const { return mFields.mWorkerProcessStart; }
  /// @returns this value with another WorkerProcessStart.
  [[nodiscard]] TaskProgress WithWorkerProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkerProcessStart = std::move(aValue);
    return copy;
  }

  /// Its newest checkpoint; empty for none.
  const std::string& Checkpoint() const { return mFields.mCheckpoint; }
  /// @returns this value with another Checkpoint.
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
