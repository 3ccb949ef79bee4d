#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Limits and times of a cell's owner.
class CellSettings
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Lease that each look renews; a successor must take over within it.
    Time mLease{ Time::FromMilliseconds(4000) };
    /// Longest lease that workers grant.
    Time mMaxLease{ Time::FromMilliseconds(10000) };
    /// How long the owner goes on renewing without a word from the store.
    Time mAuthorityTimeout{ Time::FromMilliseconds(5000) };
    /// Longest pause between looks at a worker with runs; also how late an early end is seen.
    Time mPollInterval{ Time::FromMilliseconds(250) };
    /// Shortest pause between looks at a worker; by then the ends of the last one are stored.
    Time mMinPollInterval{ Time::FromMilliseconds(30) };
    /// Bound on the answer to an order, and on what a look takes beyond its wait.
    Time mOrderTimeout{ Time::FromMilliseconds(500) };
    /// Pause before an unanswered order is sent again.
    Time mOrderRetryDelay{ Time::FromMilliseconds(100) };
    /// Pause between appends, so that one call carries many records.
    Time mAppendInterval{ Time::FromMilliseconds(20) };
    /// Pause after the store turned an append away.
    Time mAppendRetryDelay{ Time::FromMilliseconds(100) };
    /// After this long without an answer of the store, callers are told that the outcome is open.
    Time mAppendTimeout{ Time::FromMilliseconds(1500) };
    /// An append that takes longer shows that the store is lost and not just slow.
    Time mStoreLossTimeout{ Time::FromMilliseconds(1200) };
    /// How long a look may wait at the worker for an end.
    Time mPollWait{ Time::FromMilliseconds(1000) };
    /// Jobs that may be open at once; further ones are refused.
    std::uint64_t mJobLimit{ 50000 };
    /// How many times as long a task takes away from its data.
    double mRemoteSlowdown{ 2 };
    /// Failures in a row after which a worker is set aside.
    std::uint32_t mFailureLimit{ 2 };
    /// How long a worker is set aside before it is probed.
    Time mQuarantineTime{ Time::FromMilliseconds(2000) };
    /// How long the outcome of a job is kept.
    Time mOutcomeRetention{ Time::FromMilliseconds(120000) };
    /// A task without progress for this long is taken as hung.
    Time mHangTimeout{ Time::FromMilliseconds(2000) };
    /// Pause between reads of the registry, whose entries are written again all the time; small
    /// beside the time that a worker stays once it drains.
    Time mRegistryInterval{ Time::FromMilliseconds(250) };
    /// How long a machine is down for its upkeep.
    Time mMaintenanceTime{ Time::FromMilliseconds(2000) };
    /// A new owner gives no orders for machines before those of its predecessor are this old.
    Time mMaintenanceHoldoff{ Time::FromMilliseconds(3000) };
    /// How long a worker stays that drains without telling for how long.
    Time mDefaultDrainTime{ Time::FromMilliseconds(2000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellSettings() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellSettings> Create(Fields aFields)
  {
    return CellSettings(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Lease that each look renews; a successor must take over within it.
  Time Lease() const { return mFields.mLease; }
  /// @returns this value with another Lease.
  [[nodiscard]] CellSettings WithLease(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLease = std::move(aValue);
    return copy;
  }

  /// Longest lease that workers grant.
  Time MaxLease() const { return mFields.mMaxLease; }
  /// @returns this value with another MaxLease.
  [[nodiscard]] CellSettings WithMaxLease(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxLease = std::move(aValue);
    return copy;
  }

  /// How long the owner goes on renewing without a word from the store.
  Time AuthorityTimeout() const { return mFields.mAuthorityTimeout; }
  /// @returns this value with another AuthorityTimeout.
  [[nodiscard]] CellSettings WithAuthorityTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAuthorityTimeout = std::move(aValue);
    return copy;
  }

  /// Longest pause between looks at a worker with runs; also how late an early end is seen.
  Time PollInterval() const { return mFields.mPollInterval; }
  /// @returns this value with another PollInterval.
  [[nodiscard]] CellSettings WithPollInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPollInterval = std::move(aValue);
    return copy;
  }

  /// Shortest pause between looks at a worker; by then the ends of the last one are stored.
  Time MinPollInterval() const { return mFields.mMinPollInterval; }
  /// @returns this value with another MinPollInterval.
  [[nodiscard]] CellSettings WithMinPollInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMinPollInterval = std::move(aValue);
    return copy;
  }

  /// Bound on the answer to an order, and on what a look takes beyond its wait.
  Time OrderTimeout() const { return mFields.mOrderTimeout; }
  /// @returns this value with another OrderTimeout.
  [[nodiscard]] CellSettings WithOrderTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderTimeout = std::move(aValue);
    return copy;
  }

  /// Pause before an unanswered order is sent again.
  Time OrderRetryDelay() const { return mFields.mOrderRetryDelay; }
  /// @returns this value with another OrderRetryDelay.
  [[nodiscard]] CellSettings WithOrderRetryDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderRetryDelay = std::move(aValue);
    return copy;
  }

  /// Pause between appends, so that one call carries many records.
  Time AppendInterval() const { return mFields.mAppendInterval; }
  /// @returns this value with another AppendInterval.
  [[nodiscard]] CellSettings WithAppendInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendInterval = std::move(aValue);
    return copy;
  }

  /// Pause after the store turned an append away.
  Time AppendRetryDelay() const { return mFields.mAppendRetryDelay; }
  /// @returns this value with another AppendRetryDelay.
  [[nodiscard]] CellSettings WithAppendRetryDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendRetryDelay = std::move(aValue);
    return copy;
  }

  /// After this long without an answer of the store, callers are told that the outcome is open.
  Time AppendTimeout() const { return mFields.mAppendTimeout; }
  /// @returns this value with another AppendTimeout.
  [[nodiscard]] CellSettings WithAppendTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendTimeout = std::move(aValue);
    return copy;
  }

  /// An append that takes longer shows that the store is lost and not just slow.
  Time StoreLossTimeout() const { return mFields.mStoreLossTimeout; }
  /// @returns this value with another StoreLossTimeout.
  [[nodiscard]] CellSettings WithStoreLossTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStoreLossTimeout = std::move(aValue);
    return copy;
  }

  /// How long a look may wait at the worker for an end.
  Time PollWait() const { return mFields.mPollWait; }
  /// @returns this value with another PollWait.
  [[nodiscard]] CellSettings WithPollWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPollWait = std::move(aValue);
    return copy;
  }

  /// Jobs that may be open at once; further ones are refused.
  std::uint64_t JobLimit() const { return mFields.mJobLimit; }
  /// @returns this value with another JobLimit.
  [[nodiscard]] CellSettings WithJobLimit(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mJobLimit = std::move(aValue);
    return copy;
  }

  /// How many times as long a task takes away from its data.
  double RemoteSlowdown() const { return mFields.mRemoteSlowdown; }
  /// @returns this value with another RemoteSlowdown.
  [[nodiscard]] CellSettings WithRemoteSlowdown(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mRemoteSlowdown = std::move(aValue);
    return copy;
  }

  /// Failures in a row after which a worker is set aside.
  std::uint32_t FailureLimit() const { return mFields.mFailureLimit; }
  /// @returns this value with another FailureLimit.
  [[nodiscard]] CellSettings WithFailureLimit(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailureLimit = std::move(aValue);
    return copy;
  }

  /// How long a worker is set aside before it is probed.
  Time QuarantineTime() const { return mFields.mQuarantineTime; }
  /// @returns this value with another QuarantineTime.
  [[nodiscard]] CellSettings WithQuarantineTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuarantineTime = std::move(aValue);
    return copy;
  }

  /// How long the outcome of a job is kept.
  Time OutcomeRetention() const { return mFields.mOutcomeRetention; }
  /// @returns this value with another OutcomeRetention.
  [[nodiscard]] CellSettings WithOutcomeRetention(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcomeRetention = std::move(aValue);
    return copy;
  }

  /// A task without progress for this long is taken as hung.
  Time HangTimeout() const { return mFields.mHangTimeout; }
  /// @returns this value with another HangTimeout.
  [[nodiscard]] CellSettings WithHangTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHangTimeout = std::move(aValue);
    return copy;
  }

  /// Pause between reads of the registry, whose entries are written again all the time; small
  /// beside the time that a worker stays once it drains.
  Time RegistryInterval() const { return mFields.mRegistryInterval; }
  /// @returns this value with another RegistryInterval.
  [[nodiscard]] CellSettings WithRegistryInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegistryInterval = std::move(aValue);
    return copy;
  }

  /// How long a machine is down for its upkeep.
  Time MaintenanceTime() const { return mFields.mMaintenanceTime; }
  /// @returns this value with another MaintenanceTime.
  [[nodiscard]] CellSettings WithMaintenanceTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaintenanceTime = std::move(aValue);
    return copy;
  }

  /// A new owner gives no orders for machines before those of its predecessor are this old.
  Time MaintenanceHoldoff() const { return mFields.mMaintenanceHoldoff; }
  /// @returns this value with another MaintenanceHoldoff.
  [[nodiscard]] CellSettings WithMaintenanceHoldoff(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaintenanceHoldoff = std::move(aValue);
    return copy;
  }

  /// How long a worker stays that drains without telling for how long.
  Time DefaultDrainTime() const { return mFields.mDefaultDrainTime; }
  /// @returns this value with another DefaultDrainTime.
  [[nodiscard]] CellSettings WithDefaultDrainTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefaultDrainTime = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellSettings&, const CellSettings&) = default;
  friend auto operator<=>(const CellSettings&, const CellSettings&) = default;

private:
  explicit CellSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
