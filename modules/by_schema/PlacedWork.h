#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// A task that was placed on a VM; its resources are committed there.
class PlacedWork
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// VM that the task was placed on.
    VmId mVm{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlacedWork() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlacedWork> Create(Fields aFields)
  {
    return PlacedWork(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] PlacedWork WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// VM that the task was placed on.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] PlacedWork WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PlacedWork&, const PlacedWork&) = default;
  friend auto operator<=>(const PlacedWork&, const PlacedWork&) = default;

private:
  explicit PlacedWork(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
