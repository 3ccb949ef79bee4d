#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/IntentState.h"

namespace by {

/// Progress of an intent; changes while its plan stays the same.
class IntentProgress
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether the intent was confirmed.
    bool mConfirmed{ false };
    /// Current state.
    IntentState mState{};
    /// Current round of a gang, from 1; zero before the first.
    std::uint64_t mRound{ 0 };
    /// Whether the gang was allowed to start in this round.
    bool mGangStarted{ false };
    /// Whether a task of the started gang failed, so that the other tasks are stopped.
    bool mGangBroken{ false };
    /// Number of failed attempts over all tasks.
    std::int64_t mFailures{ 0 };
    /// When the intent entered its current state.
    Time mSince{};
    /// When the gang's current round began.
    Time mRoundSince{};
    /// One sentence if the intent did not succeed.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentProgress() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentProgress> Create(Fields aFields)
  {
    return IntentProgress(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether the intent was confirmed.
  bool Confirmed() const { return mFields.mConfirmed; }
  /// @returns a copy of this value with another Confirmed.
  [[nodiscard]] IntentProgress WithConfirmed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfirmed = std::move(aValue);
    return copy;
  }

  /// Current state.
  IntentState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] IntentProgress WithState(IntentState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Current round of a gang, from 1; zero before the first.
  std::uint64_t Round() const { return mFields.mRound; }
  /// @returns a copy of this value with another Round.
  [[nodiscard]] IntentProgress WithRound(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRound = std::move(aValue);
    return copy;
  }

  /// Whether the gang was allowed to start in this round.
  bool GangStarted() const { return mFields.mGangStarted; }
  /// @returns a copy of this value with another GangStarted.
  [[nodiscard]] IntentProgress WithGangStarted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGangStarted = std::move(aValue);
    return copy;
  }

  /// Whether a task of the started gang failed, so that the other tasks are stopped.
  bool GangBroken() const { return mFields.mGangBroken; }
  /// @returns a copy of this value with another GangBroken.
  [[nodiscard]] IntentProgress WithGangBroken(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGangBroken = std::move(aValue);
    return copy;
  }

  /// Number of failed attempts over all tasks.
  std::int64_t Failures() const { return mFields.mFailures; }
  /// @returns a copy of this value with another Failures.
  [[nodiscard]] IntentProgress WithFailures(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailures = std::move(aValue);
    return copy;
  }

  /// When the intent entered its current state.
  Time Since() const { return mFields.mSince; }
  /// @returns a copy of this value with another Since.
  [[nodiscard]] IntentProgress WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  /// When the gang's current round began.
  Time RoundSince() const { return mFields.mRoundSince; }
  /// @returns a copy of this value with another RoundSince.
  [[nodiscard]] IntentProgress WithRoundSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRoundSince = std::move(aValue);
    return copy;
  }

  /// One sentence if the intent did not succeed.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] IntentProgress WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentProgress&, const IntentProgress&) = default;
  friend auto operator<=>(const IntentProgress&, const IntentProgress&) = default;

private:
  explicit IntentProgress(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
