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

/// Outcome of an ended job; replaces all other records of the job.
class JobOutcome
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the job.
    std::string mJob{};
    /// Final state: completed, failed or cancelled.
    JobState mState{};
    /// When the job ended, since 1970.
    Time mEnded{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobOutcome() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobOutcome> Create(Fields aFields)
  {
    return JobOutcome(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the job.
  const std::string& Job() const { return mFields.mJob; }
  /// @returns a copy of this value with another Job.
  [[nodiscard]] JobOutcome WithJob(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mJob = std::move(aValue);
    return copy;
  }

  /// Final state: completed, failed or cancelled.
  JobState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] JobOutcome WithState(JobState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// When the job ended, since 1970.
  Time Ended() const { return mFields.mEnded; }
  /// @returns a copy of this value with another Ended.
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
