#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/TaskAssignment.h"

namespace by {

/// Assigns tasks to racks.
class TaskAssignments
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Assignments; each is validated on its own.
    std::vector<TaskAssignment> mAssignments{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskAssignments() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskAssignments> Create(Fields aFields)
  {
    return TaskAssignments(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Assignments; each is validated on its own.
  const std::vector<TaskAssignment>& Assignments() const { return mFields.mAssignments; }
  /// @returns a copy of this value with another Assignments.
  [[nodiscard]] TaskAssignments WithAssignments(std::vector<TaskAssignment> aValue) const
  {
    auto copy = *this;
    copy.mFields.mAssignments = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskAssignments&, const TaskAssignments&) = default;
  friend auto operator<=>(const TaskAssignments&, const TaskAssignments&) = default;

private:
  explicit TaskAssignments(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
