#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Assigns a task to a rack; valid only as the successor of the task's last generation.
class TaskAssignment
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the intent.
    IntentId mIntent{};
    /// Index of the task in the intent, from 0.
    std::int64_t mIndex{ 0 };
    /// Generation of this assignment, from 1.
    std::uint64_t mGeneration{ 0 };
    /// Rack whose owner starts the task.
    RackId mRack{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskAssignment() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskAssignment> Create(Fields aFields)
  {
    return TaskAssignment(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] TaskAssignment WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Index of the task in the intent, from 0.
  std::int64_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] TaskAssignment WithIndex(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Generation of this assignment, from 1.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskAssignment WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Rack whose owner starts the task.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] TaskAssignment WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskAssignment&, const TaskAssignment&) = default;
  friend auto operator<=>(const TaskAssignment&, const TaskAssignment&) = default;

private:
  explicit TaskAssignment(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
