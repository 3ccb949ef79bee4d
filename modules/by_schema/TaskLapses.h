#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Runs of one task that may have crashed their worker unseen. A record of its own, since nodes of
/// an earlier version don't read it.
class TaskLapses
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
    /// Numbers of the runs on probation whose lease expired while their worker was out of reach.
    std::vector<std::uint32_t> mRuns{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TaskLapses() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TaskLapses> Create(Fields aFields)
  {
    return TaskLapses(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] TaskLapses WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] TaskLapses WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the task among the tasks of all steps, in the order of the steps.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] TaskLapses WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Numbers of the runs on probation whose lease expired while their worker was out of reach.
  const std::vector<std::uint32_t>& Runs() const { return mFields.mRuns; }
  /// @returns a copy of this value with another Runs.
  [[nodiscard]] TaskLapses WithRuns(std::vector<std::uint32_t> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRuns = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TaskLapses&, const TaskLapses&) = default;
  friend auto operator<=>(const TaskLapses&, const TaskLapses&) = default;

private:
  explicit TaskLapses(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
