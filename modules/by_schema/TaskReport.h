#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/TaskState.h"

namespace by {

/// Report of a rack's owner on one assignment.
class TaskReport
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the intent.
    IntentId mIntent{};
    /// Index of the task in the intent, from 0.
    std::int64_t mIndex{ 0 };
    /// Generation of the assignment.
    std::uint64_t mGeneration{ 0 };
    /// State of the task.
    TaskState mState{};
    /// Whether its resources are reserved. Before it starts, a task of a gang waits for the rest of
    /// its gang, and a task that is not idempotent waits for this report to appear in the log.
    bool mReserved{ false };
    /// VM that the task was placed on.
    VmId mVm{};
    /// One sentence if the task did not succeed.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskReport() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskReport> Create(Fields aFields)
  {
    return TaskReport(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] TaskReport WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Index of the task in the intent, from 0.
  std::int64_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] TaskReport WithIndex(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Generation of the assignment.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] TaskReport WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// State of the task.
  TaskState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] TaskReport WithState(TaskState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Whether its resources are reserved. Before it starts, a task of a gang waits for the rest of
  /// its gang, and a task that is not idempotent waits for this report to appear in the log.
  bool Reserved() const { return mFields.mReserved; }
  /// @returns a copy of this value with another Reserved.
  [[nodiscard]] TaskReport WithReserved(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReserved = std::move(aValue);
    return copy;
  }

  /// VM that the task was placed on.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] TaskReport WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// One sentence if the task did not succeed.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] TaskReport WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
  friend auto operator<=>(const TaskReport&, const TaskReport&) = default;

private:
  explicit TaskReport(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
