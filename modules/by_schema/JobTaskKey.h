#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Identifies one task of one occurrence of a job.
class JobTaskKey
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Index of the occurrence, from 0.
    std::uint32_t mOccurrence{ 0 };
    /// Index of the step, from 0.
    std::uint32_t mStep{ 0 };
    /// Index of the task within its step, from 0.
    std::uint32_t mIndex{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobTaskKey() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobTaskKey> Create(Fields aFields)
  {
    return JobTaskKey(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] JobTaskKey WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Index of the occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns a copy of this value with another Occurrence.
  [[nodiscard]] JobTaskKey WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// Index of the step, from 0.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns a copy of this value with another Step.
  [[nodiscard]] JobTaskKey WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// Index of the task within its step, from 0.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns a copy of this value with another Index.
  [[nodiscard]] JobTaskKey WithIndex(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIndex = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobTaskKey&, const JobTaskKey&) = default;
  friend auto operator<=>(const JobTaskKey&, const JobTaskKey&) = default;

private:
  explicit JobTaskKey(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
