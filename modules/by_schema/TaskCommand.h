#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/TaskAction.h"

namespace by {

/// Commands a backend server to act on a running task.
class TaskCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Action to take.
    TaskAction mAction{};
    /// Entry node that owns the rack.
    NodeId mOwner{};
    /// Epoch of the owner for the rack.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskCommand> Create(Fields aFields)
  {
    return TaskCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] TaskCommand WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Action to take.
  TaskAction Action() const { return mFields.mAction; }
  /// @returns a copy of this value with another Action.
  [[nodiscard]] TaskCommand WithAction(TaskAction aValue) const
  {
    auto copy = *this;
    copy.mFields.mAction = std::move(aValue);
    return copy;
  }

  /// Entry node that owns the rack.
  const NodeId& Owner() const { return mFields.mOwner; }
  /// @returns a copy of this value with another Owner.
  [[nodiscard]] TaskCommand WithOwner(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwner = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner for the rack.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] TaskCommand WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskCommand&, const TaskCommand&) = default;
  friend auto operator<=>(const TaskCommand&, const TaskCommand&) = default;

private:
  explicit TaskCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
