#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/TaskState.h"

namespace by {

/// Answer of a backend server to a start. The task of a request is answered when it ends, a
/// detached task at once.
class TaskResult
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the task.
    TaskId mTask{};
    /// Attempt of a request, or generation of an assignment.
    std::uint64_t mGeneration{ 0 };
    /// State of the task.
    TaskState mState{};
    /// One sentence if the task did not succeed.
    std::string mDetail{};
    /// Result of the task.
    std::string mPayload{};
    /// How long the task ran.
    Time mRan{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskResult() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskResult> Create(Fields aFields)
  {
    return TaskResult(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the task.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] TaskResult WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Attempt of a request, or generation of an assignment.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskResult WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// State of the task.
  TaskState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] TaskResult WithState(TaskState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// One sentence if the task did not succeed.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] TaskResult WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  /// Result of the task.
  const std::string& Payload() const { return mFields.mPayload; }
  /// @returns a copy of this value with another Payload.
  [[nodiscard]] TaskResult WithPayload(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPayload = std::move(aValue);
    return copy;
  }

  /// How long the task ran.
  Time Ran() const { return mFields.mRan; }
  /// @returns a copy of this value with another Ran.
  [[nodiscard]] TaskResult WithRan(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRan = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskResult&, const TaskResult&) = default;
  friend auto operator<=>(const TaskResult&, const TaskResult&) = default;

private:
  explicit TaskResult(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
