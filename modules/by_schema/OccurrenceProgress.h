#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/TaskProgress.h"

namespace by {

/// Stored progress of the tasks of one occurrence.
class OccurrenceProgress
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Index of the occurrence, from 0.
    std::uint32_t mIndex{ 0 };
    /// Tasks of all steps, in the order of the steps.
    std::vector<TaskProgress> mTasks{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  OccurrenceProgress() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<OccurrenceProgress> Create(Fields aFields)
  {
    return OccurrenceProgress(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] OccurrenceProgress WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] OccurrenceProgress WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// Tasks of all steps, in the order of the steps.
  const std::vector<TaskProgress>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] OccurrenceProgress WithTasks(std::vector<TaskProgress> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  friend bool operator==(const OccurrenceProgress&, const OccurrenceProgress&) = default;
  friend auto operator<=>(const OccurrenceProgress&, const OccurrenceProgress&) = default;

private:
  explicit OccurrenceProgress(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
