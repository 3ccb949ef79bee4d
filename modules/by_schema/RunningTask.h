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

/// Row of the table of tasks that hold room.
class RunningTask
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The task.
    TaskId mTask{};
    /// Its team.
    TeamId mTeam{};
    /// The kind of work.
    std::string mKind{};
    /// Where it runs.
    VmId mVm{};
    /// The room it holds.
    by::Resources mResources{};
    /// What kind of work it belongs to.
    by::WorkClass mWorkClass{};
    /// The lane that it came from, or was moved to as a straggler.
    by::Lane mLane{};
    /// When it was placed.
    Time mStarted{};
    /// When it was asked to give way; zero where it was not.
    Time mPreemptedAt{};
    /// The service it is a replica of.
    std::string mSpreadGroup{};
    /// When it counts as a straggler; zero for work that is not short.
    Time mStragglerAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  RunningTask() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<RunningTask> Create(Fields aFields)
  {
    return RunningTask(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] RunningTask WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Its team.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns this value with another Team.
  [[nodiscard]] RunningTask WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// The kind of work.
  const std::string& Kind() const { return mFields.mKind; }
  /// @returns this value with another Kind.
  [[nodiscard]] RunningTask WithKind(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// Where it runs.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns this value with another Vm.
  [[nodiscard]] RunningTask WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// The room it holds.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns this value with another Resources.
  [[nodiscard]] RunningTask WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// What kind of work it belongs to.
  by::WorkClass WorkClass() const { return mFields.mWorkClass; }
  /// @returns this value with another WorkClass.
  [[nodiscard]] RunningTask WithWorkClass(by::WorkClass aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkClass = std::move(aValue);
    return copy;
  }

  /// The lane that it came from, or was moved to as a straggler.
  by::Lane Lane() const { return mFields.mLane; }
  /// @returns this value with another Lane.
  [[nodiscard]] RunningTask WithLane(by::Lane aValue) const
  {
    auto copy = *this;
    copy.mFields.mLane = std::move(aValue);
    return copy;
  }

  /// When it was placed.
  Time Started() const { return mFields.mStarted; }
  /// @returns this value with another Started.
  [[nodiscard]] RunningTask WithStarted(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStarted = std::move(aValue);
    return copy;
  }

  /// When it was asked to give way; zero where it was not.
  Time PreemptedAt() const { return mFields.mPreemptedAt; }
  /// @returns this value with another PreemptedAt.
  [[nodiscard]] RunningTask WithPreemptedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPreemptedAt = std::move(aValue);
    return copy;
  }

  /// The service it is a replica of.
  const std::string& SpreadGroup() const { return mFields.mSpreadGroup; }
  /// @returns this value with another SpreadGroup.
  [[nodiscard]] RunningTask WithSpreadGroup(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpreadGroup = std::move(aValue);
    return copy;
  }

  /// When it counts as a straggler; zero for work that is not short.
  Time StragglerAt() const { return mFields.mStragglerAt; }
  /// @returns this value with another StragglerAt.
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
