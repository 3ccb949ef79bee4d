#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/JobCallOutcome.h"
#include "by_schema/JobState.h"

namespace by {

/// The answer to a caller.
class JobReply
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The call.
    std::uint64_t mCall{ 0 };
    /// What it came to.
    JobCallOutcome mOutcome{};
    /// The state of the job.
    JobState mState{};
    /// How many jobs wait.
    std::uint64_t mWaiting{ 0 };
    /// When to come back after a refusal.
    Time mRetryAfter{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  JobReply() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<JobReply> Create(Fields aFields) { return JobReply(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The call.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns this value with another Call.
  [[nodiscard]] JobReply WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// What it came to.
  JobCallOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] JobReply WithOutcome(JobCallOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The state of the job.
  JobState State() const { return mFields.mState; }
  /// @returns this value with another State.
  [[nodiscard]] JobReply WithState(JobState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// How many jobs wait.
  std::uint64_t Waiting() const { return mFields.mWaiting; }
  /// @returns this value with another Waiting.
  [[nodiscard]] JobReply WithWaiting(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWaiting = std::move(aValue);
    return copy;
  }

  /// When to come back after a refusal.
  Time RetryAfter() const { return mFields.mRetryAfter; }
  /// @returns this value with another RetryAfter.
  [[nodiscard]] JobReply WithRetryAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRetryAfter = std::move(aValue);
    return copy;
  }

  friend bool operator==(const JobReply&, const JobReply&) = default;
  friend auto operator<=>(const JobReply&, const JobReply&) = default;

private:
  explicit JobReply(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
