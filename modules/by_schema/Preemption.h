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

/// A running task that has to give way.
class Preemption
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The task.
    TaskId mTask{};
    /// The VM.
    VmId mVm{};
    /// How it gives way.
    TaskAction mAction{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  Preemption() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<Preemption> Create(Fields aFields)
  {
    return Preemption(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns this value with another Task.
  [[nodiscard]] Preemption WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// The VM.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns this value with another Vm.
  [[nodiscard]] Preemption WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// How it gives way.
  TaskAction Action() const { return mFields.mAction; }
  /// @returns this value with another Action.
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
