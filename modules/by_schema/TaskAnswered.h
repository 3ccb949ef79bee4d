#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/TaskResult.h"

namespace by {

/// A backend server answered a start.
class TaskAnswered
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM that answered.
    VmId mVm{};
    /// The answer.
    TaskResult mResult{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskAnswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskAnswered> Create(Fields aFields)
  {
    return TaskAnswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM that answered.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] TaskAnswered WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// The answer.
  const TaskResult& Result() const { return mFields.mResult; }
  /// @returns a copy of this value with another Result.
  [[nodiscard]] TaskAnswered WithResult(TaskResult aValue) const
  {
    auto copy = *this;
    copy.mFields.mResult = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskAnswered&, const TaskAnswered&) = default;
  friend auto operator<=>(const TaskAnswered&, const TaskAnswered&) = default;

private:
  explicit TaskAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
