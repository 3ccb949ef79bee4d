#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"
#include "by_schema/TaskState.h"

namespace by {

/// Status of one task on a backend server.
class TaskStatus
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Attempt of a request, or generation of an assignment, from 1.
    std::uint64_t mGeneration{ 0 };
    /// Current state.
    TaskState mState{};
    /// Resources that the task requested.
    Resources mDeclared{};
    /// Resources that the task used recently; lags behind the actual use.
    Resources mUsed{};
    /// How long the task has run.
    Time mRan{};
    /// Whether the task belongs to an intent and outlives the connection that started it.
    bool mDetached{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskStatus() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskStatus> Create(Fields aFields)
  {
    return TaskStatus(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] TaskStatus WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Attempt of a request, or generation of an assignment, from 1.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskStatus WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Current state.
  TaskState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] TaskStatus WithState(TaskState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Resources that the task requested.
  const Resources& Declared() const { return mFields.mDeclared; }
  /// @returns a copy of this value with another Declared.
  [[nodiscard]] TaskStatus WithDeclared(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mDeclared = std::move(aValue);
    return copy;
  }

  /// Resources that the task used recently; lags behind the actual use.
  const Resources& Used() const { return mFields.mUsed; }
  /// @returns a copy of this value with another Used.
  [[nodiscard]] TaskStatus WithUsed(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mUsed = std::move(aValue);
    return copy;
  }

  /// How long the task has run.
  Time Ran() const { return mFields.mRan; }
  /// @returns a copy of this value with another Ran.
  [[nodiscard]] TaskStatus WithRan(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRan = std::move(aValue);
    return copy;
  }

  /// Whether the task belongs to an intent and outlives the connection that started it.
  bool Detached() const { return mFields.mDetached; }
  /// @returns a copy of this value with another Detached.
  [[nodiscard]] TaskStatus WithDetached(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetached = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
  friend auto operator<=>(const TaskStatus&, const TaskStatus&) = default;

private:
  explicit TaskStatus(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
