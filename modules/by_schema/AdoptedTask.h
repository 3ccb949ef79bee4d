#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/TaskStatus.h"

namespace by {

/// A task that a backend server reported in its inventory.
class AdoptedTask
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM that runs the task.
    VmId mVm{};
    /// Status that the backend server reported.
    TaskStatus mStatus{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  AdoptedTask() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<AdoptedTask> Create(Fields aFields)
  {
    return AdoptedTask(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM that runs the task.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] AdoptedTask WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Status that the backend server reported.
  const TaskStatus& Status() const { return mFields.mStatus; }
  /// @returns a copy of this value with another Status.
  [[nodiscard]] AdoptedTask WithStatus(TaskStatus aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatus = std::move(aValue);
    return copy;
  }

  friend bool operator==(const AdoptedTask&, const AdoptedTask&) = default;
  friend auto operator<=>(const AdoptedTask&, const AdoptedTask&) = default;

private:
  explicit AdoptedTask(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
