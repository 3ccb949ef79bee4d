#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Names one task of one occurrence of a job.
class JobTaskKey
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The job.
    std::string mJob{};
    /// The occurrence, from 0.
    std::uint32_t mOccurrence{ 0 };
    /// The step, from 0.
    std::uint32_t mStep{ 0 };
    /// The task within its step, from 0.
    std::uint32_t mIndex{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobTaskKey() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobTaskKey> Create(Fields aFields)
  {
    return JobTaskKey(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] JobTaskKey WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// The occurrence, from 0.
  std::uint32_t Occurrence() const { return mFields.mOccurrence; }
  /// @returns this value with another Occurrence.
  [[nodiscard]] JobTaskKey WithOccurrence(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOccurrence = std::move(aValue);
    return copy;
  }

  /// The step, from 0.
  std::uint32_t Step() const { return mFields.mStep; }
  /// @returns this value with another Step.
  [[nodiscard]] JobTaskKey WithStep(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mStep = std::move(aValue);
    return copy;
  }

  /// The task within its step, from 0.
  std::uint32_t Index() const { return mFields.mIndex; }
  /// @returns this value with another Index.
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
