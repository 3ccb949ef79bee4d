#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/IntentState.h"
#include "by_schema/IntentTaskStatus.h"
#include "by_schema/Plan.h"

namespace by {

/// An intent with its tasks, as a row of the folded state.
class IntentRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Plan that the intent was created from.
    by::Plan mPlan{};
    /// Whether the intent was confirmed.
    bool mConfirmed{ false };
    /// Current state.
    IntentState mState{};
    /// Current round of a gang, from 1.
    std::uint64_t mRound{ 0 };
    /// Whether the gang was allowed to start in this round.
    bool mGangStarted{ false };
    /// Status of its tasks.
    std::vector<IntentTaskStatus> mTasks{};
    /// Number of failed attempts over all tasks.
    std::int64_t mFailures{ 0 };
    /// When the intent entered its current state.
    Time mSince{};
    /// Whether a task of the started gang failed, so that the other tasks are stopped.
    bool mGangBroken{ false };
    /// When the gang's current round began.
    Time mRoundSince{};
    /// One sentence if the intent did not succeed.
    std::string mDetail{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  IntentRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<IntentRow> Create(Fields aFields) { return IntentRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Plan that the intent was created from.
  const by::Plan& Plan() const { return mFields.mPlan; }
  /// @returns a copy of this value with another Plan.
  [[nodiscard]] IntentRow WithPlan(by::Plan aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlan = std::move(aValue);
    return copy;
  }

  /// Whether the intent was confirmed.
  bool Confirmed() const { return mFields.mConfirmed; }
  /// @returns a copy of this value with another Confirmed.
  [[nodiscard]] IntentRow WithConfirmed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfirmed = std::move(aValue);
    return copy;
  }

  /// Current state.
  IntentState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] IntentRow WithState(IntentState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Current round of a gang, from 1.
  std::uint64_t Round() const { return mFields.mRound; }
  /// @returns a copy of this value with another Round.
  [[nodiscard]] IntentRow WithRound(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRound = std::move(aValue);
    return copy;
  }

  /// Whether the gang was allowed to start in this round.
  bool GangStarted() const { return mFields.mGangStarted; }
  /// @returns a copy of this value with another GangStarted.
  [[nodiscard]] IntentRow WithGangStarted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGangStarted = std::move(aValue);
    return copy;
  }

  /// Status of its tasks.
  const std::vector<IntentTaskStatus>& Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] IntentRow WithTasks(std::vector<IntentTaskStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Number of failed attempts over all tasks.
  std::int64_t Failures() const { return mFields.mFailures; }
  /// @returns a copy of this value with another Failures.
  [[nodiscard]] IntentRow WithFailures(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailures = std::move(aValue);
    return copy;
  }

  /// When the intent entered its current state.
  Time Since() const { return mFields.mSince; }
  /// @returns a copy of this value with another Since.
  [[nodiscard]] IntentRow WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  /// Whether a task of the started gang failed, so that the other tasks are stopped.
  bool GangBroken() const { return mFields.mGangBroken; }
  /// @returns a copy of this value with another GangBroken.
  [[nodiscard]] IntentRow WithGangBroken(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mGangBroken = std::move(aValue);
    return copy;
  }

  /// When the gang's current round began.
  Time RoundSince() const { return mFields.mRoundSince; }
  /// @returns a copy of this value with another RoundSince.
  [[nodiscard]] IntentRow WithRoundSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRoundSince = std::move(aValue);
    return copy;
  }

  /// One sentence if the intent did not succeed.
  const std::string& Detail() const { return mFields.mDetail; }
  /// @returns a copy of this value with another Detail.
  [[nodiscard]] IntentRow WithDetail(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mDetail = std::move(aValue);
    return copy;
  }

  friend bool operator==(const IntentRow&, const IntentRow&) = default;
  friend auto operator<=>(const IntentRow&, const IntentRow&) = default;

private:
  explicit IntentRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
