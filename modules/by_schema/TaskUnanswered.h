#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// A backend server did not answer a start.
class TaskUnanswered
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM that did not answer.
    VmId mVm{};
    /// Task that was to be started.
    TaskId mTask{};
    /// Attempt of a request, or generation of an assignment.
    std::uint64_t mGeneration{ 0 };
    /// Whether the start may have reached the backend server.
    bool mMayHaveStarted{ false };
    /// Cause in one sentence.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskUnanswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskUnanswered> Create(Fields aFields)
  {
    return TaskUnanswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM that did not answer.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] TaskUnanswered WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Task that was to be started.
  const TaskId& Task() const { return mFields.mTask; }
  /// @returns a copy of this value with another Task.
  [[nodiscard]] TaskUnanswered WithTask(TaskId aValue) const
  {
    auto copy = *this;
    copy.mFields.mTask = std::move(aValue);
    return copy;
  }

  /// Attempt of a request, or generation of an assignment.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskUnanswered WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Whether the start may have reached the backend server.
  bool MayHaveStarted() const { return mFields.mMayHaveStarted; }
  /// @returns a copy of this value with another MayHaveStarted.
  [[nodiscard]] TaskUnanswered WithMayHaveStarted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mMayHaveStarted = std::move(aValue);
    return copy;
  }

  /// Cause in one sentence.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] TaskUnanswered WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskUnanswered&, const TaskUnanswered&) = default;
  friend auto operator<=>(const TaskUnanswered&, const TaskUnanswered&) = default;

private:
  explicit TaskUnanswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
