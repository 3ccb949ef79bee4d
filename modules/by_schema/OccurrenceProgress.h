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

/// The tasks of one occurrence, step by step.
class OccurrenceProgress
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The job.
    std::string mJob{};
    /// The occurrence, from 0.
    std::uint32_t mIndex{ 0 };
    /// The tasks of all steps in order.
    std::vector<TaskProgress> mTasks{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  OccurrenceProgress() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<OccurrenceProgress> Create(Fields aFields)
  {
    return OccurrenceProgress(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] OccurrenceProgress WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// The occurrence, from 0.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns this value with another Index.
  [[nodiscard]] OccurrenceProgress WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  /// The tasks of all steps in order.
  const std::vector<TaskProgress>& Tasks() const { return mFields.mTasks; }
  /// @returns this value with another Tasks.
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
