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

/// A running task that is preempted to free its resources.
class Preemption
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// VM that runs the task.
    VmId mVm{};
    /// How the task is preempted.
    TaskAction mAction{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Preemption() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Preemption> Create(Fields aFields)
  {
    return Preemption(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] Preemption WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// VM that runs the task.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] Preemption WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// How the task is preempted.
  TaskAction Action() const { return mFields.mAction; }
  /// @returns a copy of this value with another Action.
  [[nodiscard]] Preemption WithAction(TaskAction aValue) const
  {
    auto copy = *this;
    copy.mFields.mAction = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Preemption&, const Preemption&) = default;
  friend auto operator<=>(const Preemption&, const Preemption&) = default;

private:
  explicit Preemption(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
