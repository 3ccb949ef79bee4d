#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobState.h"

namespace by {

/// How a job ended; replaces all other records of it.
class JobOutcome
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The job.
    std::string mJob{};
    /// Completed, failed or cancelled.
    JobState mState{};
    /// When, since 1970.
    Time mEnded{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobOutcome() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobOutcome> Create(Fields aFields)
  {
    return JobOutcome(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns this value with another Job.
  [[nodiscard]] JobOutcome WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Completed, failed or cancelled.
  JobState State() const { return mFields.mState; }
  /// @returns this value with another State.
  [[nodiscard]] JobOutcome WithState(JobState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// When, since 1970.
  Time Ended() const { return mFields.mEnded; }
  /// @returns this value with another Ended.
  [[nodiscard]] JobOutcome WithEnded(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnded = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobOutcome&, const JobOutcome&) = default;
  friend auto operator<=>(const JobOutcome&, const JobOutcome&) = default;

private:
  explicit JobOutcome(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
