#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Lane.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"

namespace by {

/// Row of the table of tasks that hold resources.
class RunningTask
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Team that the task runs for.
    TeamId mTeam{};
    /// Kind of work.
    std::string mKind{};
    /// VM that runs the task.
    VmId mVm{};
    /// Resources that the task holds.
    by::Resources mResources{};
    /// Class of work that the task belongs to.
    by::WorkClass mWorkClass{};
    /// Lane in which the task waited, or the one to which it was moved as a straggler.
    by::Lane mLane{};
    /// When the task was placed.
    Time mStarted{};
    /// When the task was preempted; zero if it was not.
    Time mPreemptedAt{};
    /// Service that the task is a replica of; empty for none.
    std::string mSpreadGroup{};
    /// When the task counts as a straggler; zero for work that is not short.
    Time mStragglerAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RunningTask() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RunningTask> Create(Fields aFields)
  {
    return RunningTask(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] RunningTask WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Team that the task runs for.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] RunningTask WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Kind of work.
  const std::string& Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] RunningTask WithKind(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// VM that runs the task.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] RunningTask WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Resources that the task holds.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] RunningTask WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// Class of work that the task belongs to.
  by::WorkClass WorkClass() const { return mFields.mWorkClass; }
  /// @returns a copy of this value with another WorkClass.
  [[nodiscard]] RunningTask WithWorkClass(by::WorkClass aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkClass = std::move(aValue);
    return copy;
  }

  /// Lane in which the task waited, or the one to which it was moved as a straggler.
  by::Lane Lane() const { return mFields.mLane; }
  /// @returns a copy of this value with another Lane.
  [[nodiscard]] RunningTask WithLane(by::Lane aValue) const
  {
    auto copy = *this;
    copy.mFields.mLane = std::move(aValue);
    return copy;
  }

  /// When the task was placed.
  Time Started() const { return mFields.mStarted; }
  /// @returns a copy of this value with another Started.
  [[nodiscard]] RunningTask WithStarted(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStarted = std::move(aValue);
    return copy;
  }

  /// When the task was preempted; zero if it was not.
  Time PreemptedAt() const { return mFields.mPreemptedAt; }
  /// @returns a copy of this value with another PreemptedAt.
  [[nodiscard]] RunningTask WithPreemptedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPreemptedAt = std::move(aValue);
    return copy;
  }

  /// Service that the task is a replica of; empty for none.
  const std::string& SpreadGroup() const { return mFields.mSpreadGroup; }
  /// @returns a copy of this value with another SpreadGroup.
  [[nodiscard]] RunningTask WithSpreadGroup(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpreadGroup = std::move(aValue);
    return copy;
  }

  /// When the task counts as a straggler; zero for work that is not short.
  Time StragglerAt() const { return mFields.mStragglerAt; }
  /// @returns a copy of this value with another StragglerAt.
  [[nodiscard]] RunningTask WithStragglerAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStragglerAt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RunningTask&, const RunningTask&) = default;
  friend auto operator<=>(const RunningTask&, const RunningTask&) = default;

private:
  explicit RunningTask(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
