#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/TaskProgress.h"

namespace by {

/// Stored progress of one task, with the task that it belongs to.
class TaskRecord
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Index of the occurrence, from 0.
    std::uint32_t mOccurrence{ 0 };
    /// Index of the task among the tasks of all steps, in the order of the steps.
    std::uint32_t mIndex{ 0 };
    /// Progress of the task.
    TaskProgress mProgress{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskRecord() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskRecord> Create(Fields aFields)
  {
    return TaskRecord(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] TaskRecord WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] TaskRecord WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the task among the tasks of all steps, in the order of the steps.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] TaskRecord WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Progress of the task.
  const TaskProgress& Progress() const { return mFields.mProgress; }
  /// @returns a copy of this value with another Progress.
  [[nodiscard]] TaskRecord WithProgress(TaskProgress aValue) const
  {
    auto copy = *this;
    copy.mFields.mProgress = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskRecord&, const TaskRecord&) = default;
  friend auto operator<=>(const TaskRecord&, const TaskRecord&) = default;

private:
  explicit TaskRecord(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
