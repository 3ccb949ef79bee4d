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

/// Reply to a caller's request.
class JobReply
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Number of the call, as in JobCall and CellRequest.
    std::uint64_t mCall{ 0 };
    /// Outcome of the request.
    JobCallOutcome mOutcome{};
    /// State of the job; meaningful if the outcome is JobCallOutcome::Shown.
    JobState mState{};
    /// Number of jobs in the queue without a started task; meaningful if the outcome is
    /// JobCallOutcome::Counted.
    std::uint64_t mWaiting{ 0 };
    /// When a refused caller should retry, as a delay; zero for no advice.
    Time mRetryAfter{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  JobReply() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<JobReply> Create(Fields aFields) { return JobReply(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Number of the call, as in JobCall and CellRequest.
  std::uint64_t Call() const { return mFields.mCall; }
  /// @returns a copy of this value with another Call.
  [[nodiscard]] JobReply WithCall(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mCall = std::move(aValue);
    return copy;
  }

  /// Outcome of the request.
  JobCallOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] JobReply WithOutcome(JobCallOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// State of the job; meaningful if the outcome is JobCallOutcome::Shown.
  JobState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] JobReply WithState(JobState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Number of jobs in the queue without a started task; meaningful if the outcome is
  /// JobCallOutcome::Counted.
  std::uint64_t Waiting() const { return mFields.mWaiting; }
  /// @returns a copy of this value with another Waiting.
  [[nodiscard]] JobReply WithWaiting(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mWaiting = std::move(aValue);
    return copy;
  }

  /// When a refused caller should retry, as a delay; zero for no advice.
  Time RetryAfter() const { return mFields.mRetryAfter; }
  /// @returns a copy of this value with another RetryAfter.
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
