#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Priority.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"

namespace by {

/// A task to be scheduled.
class WorkItem
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Team that the task runs for.
    TeamId mTeam{};
    /// Kind of work, for run-time estimates.
    std::string mKind{};
    /// Class of work that the task belongs to.
    by::WorkClass mWorkClass{};
    /// How the task is treated when capacity is short.
    by::Priority mPriority{};
    /// Resources that the task requests.
    by::Resources mResources{};
    /// When the task arrived.
    Time mArrived{};
    /// Latest start time; the task is refused if it has not started by then.
    Time mStartBy{};
    /// Run time that the submitter declared; zero for none.
    Time mDeclaredLength{};
    /// Rack whose VMs may run the task; empty for any.
    RackId mRack{};
    /// Service that the task is a replica of, whose replicas are spread over racks and zones; empty
    /// for none.
    std::string mSpreadGroup{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkItem() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkItem> Create(Fields aFields) { return WorkItem(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] WorkItem WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Team that the task runs for.
  const TeamId& Team() const { return mFields.mTeam; }
  /// @returns a copy of this value with another Team.
  [[nodiscard]] WorkItem WithTeam(TeamId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeam = std::move(aValue);
    return copy;
  }

  /// Kind of work, for run-time estimates.
  const std::string& Kind() const { return mFields.mKind; }
  /// @returns a copy of this value with another Kind.
  [[nodiscard]] WorkItem WithKind(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mKind = std::move(aValue);
    return copy;
  }

  /// Class of work that the task belongs to.
  by::WorkClass WorkClass() const { return mFields.mWorkClass; }
  /// @returns a copy of this value with another WorkClass.
  [[nodiscard]] WorkItem WithWorkClass(by::WorkClass aValue) const
  {
    auto copy = *this;
    copy.mFields.mWorkClass = std::move(aValue);
    return copy;
  }

  /// How the task is treated when capacity is short.
  by::Priority Priority() const { return mFields.mPriority; }
  /// @returns a copy of this value with another Priority.
  [[nodiscard]] WorkItem WithPriority(by::Priority aValue) const
  {
    auto copy = *this;
    copy.mFields.mPriority = std::move(aValue);
    return copy;
  }

  /// Resources that the task requests.
  const by::Resources& Resources() const { return mFields.mResources; }
  /// @returns a copy of this value with another Resources.
  [[nodiscard]] WorkItem WithResources(by::Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mResources = std::move(aValue);
    return copy;
  }

  /// When the task arrived.
  Time Arrived() const { return mFields.mArrived; }
  /// @returns a copy of this value with another Arrived.
  [[nodiscard]] WorkItem WithArrived(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mArrived = std::move(aValue);
    return copy;
  }

  /// Latest start time; the task is refused if it has not started by then.
  Time StartBy() const { return mFields.mStartBy; }
  /// @returns a copy of this value with another StartBy.
  [[nodiscard]] WorkItem WithStartBy(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStartBy = std::move(aValue);
    return copy;
  }

  /// Run time that the submitter declared; zero for none.
  Time DeclaredLength() const { return mFields.mDeclaredLength; }
  /// @returns a copy of this value with another DeclaredLength.
  [[nodiscard]] WorkItem WithDeclaredLength(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDeclaredLength = std::move(aValue);
    return copy;
  }

  /// Rack whose VMs may run the task; empty for any.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] WorkItem WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Service that the task is a replica of, whose replicas are spread over racks and zones; empty
  /// for none.
  const std::string& SpreadGroup() const { return mFields.mSpreadGroup; }
  /// @returns a copy of this value with another SpreadGroup.
  [[nodiscard]] WorkItem WithSpreadGroup(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mSpreadGroup = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkItem&, const WorkItem&) = default;
  friend auto operator<=>(const WorkItem&, const WorkItem&) = default;

private:
  explicit WorkItem(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
