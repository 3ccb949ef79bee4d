#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Limits and intervals of the owner of a cell.
class CellSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Duration of the lease that each poll of a worker renews; a successor must take over before
    /// it expires.
    Time mLease{ Time::FromMilliseconds(4000) };
    /// Longest lease that workers grant.
    Time mMaxLease{ Time::FromMilliseconds(10000) };
    /// How long the owner keeps renewing leases without a confirmation from the store: an accepted
    /// append or an answer that it is still elected, counted from when that call was sent.
    Time mAuthorityTimeout{ Time::FromMilliseconds(5000) };
    /// Longest interval between polls of a worker with runs; also the latest time at which an early
    /// end is noticed.
    Time mPollInterval{ Time::FromMilliseconds(250) };
    /// Shortest interval between polls of a worker; long enough for the ends of the previous poll
    /// to be stored.
    Time mMinPollInterval{ Time::FromMilliseconds(30) };
    /// Timeout of a start or stop order, and of a poll beyond the time that it may wait at the
    /// worker.
    Time mOrderTimeout{ Time::FromMilliseconds(500) };
    /// Delay before an order is sent again: a start order that was not answered or whose lease had
    /// expired when it arrived, or a stop order that was not accepted.
    Time mOrderRetryDelay{ Time::FromMilliseconds(100) };
    /// Interval between appends, so that one call carries many records.
    Time mAppendInterval{ Time::FromMilliseconds(20) };
    /// Minimum time after an append was sent before it is sent again, if it was rejected or not
    /// answered.
    Time mAppendRetryDelay{ Time::FromMilliseconds(100) };
    /// If the store does not answer an append within this time, callers receive
    /// JobCallOutcome::Uncertain.
    Time mAppendTimeout{ Time::FromMilliseconds(1500) };
    /// If an append takes longer, the store counts as lost and not just as slow.
    Time mStoreLossTimeout{ Time::FromMilliseconds(1200) };
    /// How long a poll may wait at the worker for the end of a run.
    Time mPollWait{ Time::FromMilliseconds(1000) };
    /// Maximum number of open jobs; further submissions are refused.
    std::uint64_t mJobLimit{ 50000 };
    /// Factor by which a task takes longer on a rack that does not hold its data.
    double mRemoteSlowdown{ 2 };
    /// Consecutive failures after which a worker is quarantined.
    std::uint32_t mFailureLimit{ 2 };
    /// How long a worker is quarantined before it is probed.
    Time mQuarantineTime{ Time::FromMilliseconds(2000) };
    /// How long the outcome of an ended job is kept.
    Time mOutcomeRetention{ Time::FromMilliseconds(120000) };
    /// A task that makes no progress for this long is treated as hung; tasks with a long estimated
    /// run time get longer.
    Time mHangTimeout{ Time::FromMilliseconds(2000) };
    /// Interval between reads of the worker registry. Workers rewrite their entries all the time,
    /// so each read covers many changes; the interval must be short compared with the time that a
    /// draining worker stays.
    Time mRegistryInterval{ Time::FromMilliseconds(250) };
    /// How long a machine is down for maintenance.
    Time mMaintenanceTime{ Time::FromMilliseconds(2000) };
    /// Delay before a new owner sends its first maintenance order; by then, all orders of its
    /// predecessor are at least this old.
    Time mMaintenanceHoldoff{ Time::FromMilliseconds(3000) };
    /// How long a draining worker is assumed to stay if its registration does not say.
    Time mDefaultDrainTime{ Time::FromMilliseconds(2000) };
    /// Number of workers up to which the owner sends all orders itself; with more workers, linked
    /// nodes relay them.
    std::uint64_t mDirectWorkerLimit{ 64 };
    /// Maximum size of an append, so that it reaches the store within its time limit over a narrow
    /// link; what exceeds it follows in further appends.
    std::uint64_t mAppendLimit{ 262144 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellSettings> Create(Fields aFields)
  {
    return CellSettings(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Duration of the lease that each poll of a worker renews; a successor must take over before it
  /// expires.
  Time Lease() const { return mFields.mLease; }
  /// @returns a copy of this value with another Lease.
  [[nodiscard]] CellSettings WithLease(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLease = std::move(aValue);
    return copy;
  }

  /// Longest lease that workers grant.
  Time MaxLease() const { return mFields.mMaxLease; }
  /// @returns a copy of this value with another MaxLease.
  [[nodiscard]] CellSettings WithMaxLease(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaxLease = std::move(aValue);
    return copy;
  }

  /// How long the owner keeps renewing leases without a confirmation from the store: an accepted
  /// append or an answer that it is still elected, counted from when that call was sent.
  Time AuthorityTimeout() const { return mFields.mAuthorityTimeout; }
  /// @returns a copy of this value with another AuthorityTimeout.
  [[nodiscard]] CellSettings WithAuthorityTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAuthorityTimeout = std::move(aValue);
    return copy;
  }

  /// Longest interval between polls of a worker with runs; also the latest time at which an early
  /// end is noticed.
  Time PollInterval() const { return mFields.mPollInterval; }
  /// @returns a copy of this value with another PollInterval.
  [[nodiscard]] CellSettings WithPollInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPollInterval = std::move(aValue);
    return copy;
  }

  /// Shortest interval between polls of a worker; long enough for the ends of the previous poll to
  /// be stored.
  Time MinPollInterval() const { return mFields.mMinPollInterval; }
  /// @returns a copy of this value with another MinPollInterval.
  [[nodiscard]] CellSettings WithMinPollInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMinPollInterval = std::move(aValue);
    return copy;
  }

  /// Timeout of a start or stop order, and of a poll beyond the time that it may wait at the
  /// worker.
  Time OrderTimeout() const { return mFields.mOrderTimeout; }
  /// @returns a copy of this value with another OrderTimeout.
  [[nodiscard]] CellSettings WithOrderTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderTimeout = std::move(aValue);
    return copy;
  }

  /// Delay before an order is sent again: a start order that was not answered or whose lease had
  /// expired when it arrived, or a stop order that was not accepted.
  Time OrderRetryDelay() const { return mFields.mOrderRetryDelay; }
  /// @returns a copy of this value with another OrderRetryDelay.
  [[nodiscard]] CellSettings WithOrderRetryDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderRetryDelay = std::move(aValue);
    return copy;
  }

  /// Interval between appends, so that one call carries many records.
  Time AppendInterval() const { return mFields.mAppendInterval; }
  /// @returns a copy of this value with another AppendInterval.
  [[nodiscard]] CellSettings WithAppendInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendInterval = std::move(aValue);
    return copy;
  }

  /// Minimum time after an append was sent before it is sent again, if it was rejected or not
  /// answered.
  Time AppendRetryDelay() const { return mFields.mAppendRetryDelay; }
  /// @returns a copy of this value with another AppendRetryDelay.
  [[nodiscard]] CellSettings WithAppendRetryDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendRetryDelay = std::move(aValue);
    return copy;
  }

  /// If the store does not answer an append within this time, callers receive
  /// JobCallOutcome::Uncertain.
  Time AppendTimeout() const { return mFields.mAppendTimeout; }
  /// @returns a copy of this value with another AppendTimeout.
  [[nodiscard]] CellSettings WithAppendTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendTimeout = std::move(aValue);
    return copy;
  }

  /// If an append takes longer, the store counts as lost and not just as slow.
  Time StoreLossTimeout() const { return mFields.mStoreLossTimeout; }
  /// @returns a copy of this value with another StoreLossTimeout.
  [[nodiscard]] CellSettings WithStoreLossTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStoreLossTimeout = std::move(aValue);
    return copy;
  }

  /// How long a poll may wait at the worker for the end of a run.
  Time PollWait() const { return mFields.mPollWait; }
  /// @returns a copy of this value with another PollWait.
  [[nodiscard]] CellSettings WithPollWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPollWait = std::move(aValue);
    return copy;
  }

  /// Maximum number of open jobs; further submissions are refused.
  std::uint64_t JobLimit() const { return mFields.mJobLimit; }
  /// @returns a copy of this value with another JobLimit.
  [[nodiscard]] CellSettings WithJobLimit(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mJobLimit = std::move(aValue);
    return copy;
  }

  /// Factor by which a task takes longer on a rack that does not hold its data.
  double RemoteSlowdown() const { return mFields.mRemoteSlowdown; }
  /// @returns a copy of this value with another RemoteSlowdown.
  [[nodiscard]] CellSettings WithRemoteSlowdown(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mRemoteSlowdown = std::move(aValue);
    return copy;
  }

  /// Consecutive failures after which a worker is quarantined.
  std::uint32_t FailureLimit() const { return mFields.mFailureLimit; }
  /// @returns a copy of this value with another FailureLimit.
  [[nodiscard]] CellSettings WithFailureLimit(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailureLimit = std::move(aValue);
    return copy;
  }

  /// How long a worker is quarantined before it is probed.
  Time QuarantineTime() const { return mFields.mQuarantineTime; }
  /// @returns a copy of this value with another QuarantineTime.
  [[nodiscard]] CellSettings WithQuarantineTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuarantineTime = std::move(aValue);
    return copy;
  }

  /// How long the outcome of an ended job is kept.
  Time OutcomeRetention() const { return mFields.mOutcomeRetention; }
  /// @returns a copy of this value with another OutcomeRetention.
  [[nodiscard]] CellSettings WithOutcomeRetention(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcomeRetention = std::move(aValue);
    return copy;
  }

  /// A task that makes no progress for this long is treated as hung; tasks with a long estimated
  /// run time get longer.
  Time HangTimeout() const { return mFields.mHangTimeout; }
  /// @returns a copy of this value with another HangTimeout.
  [[nodiscard]] CellSettings WithHangTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHangTimeout = std::move(aValue);
    return copy;
  }

  /// Interval between reads of the worker registry. Workers rewrite their entries all the time, so
  /// each read covers many changes; the interval must be short compared with the time that a
  /// draining worker stays.
  Time RegistryInterval() const { return mFields.mRegistryInterval; }
  /// @returns a copy of this value with another RegistryInterval.
  [[nodiscard]] CellSettings WithRegistryInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegistryInterval = std::move(aValue);
    return copy;
  }

  /// How long a machine is down for maintenance.
  Time MaintenanceTime() const { return mFields.mMaintenanceTime; }
  /// @returns a copy of this value with another MaintenanceTime.
  [[nodiscard]] CellSettings WithMaintenanceTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaintenanceTime = std::move(aValue);
    return copy;
  }

  /// Delay before a new owner sends its first maintenance order; by then, all orders of its
  /// predecessor are at least this old.
  Time MaintenanceHoldoff() const { return mFields.mMaintenanceHoldoff; }
  /// @returns a copy of this value with another MaintenanceHoldoff.
  [[nodiscard]] CellSettings WithMaintenanceHoldoff(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMaintenanceHoldoff = std::move(aValue);
    return copy;
  }

  /// How long a draining worker is assumed to stay if its registration does not say.
  Time DefaultDrainTime() const { return mFields.mDefaultDrainTime; }
  /// @returns a copy of this value with another DefaultDrainTime.
  [[nodiscard]] CellSettings WithDefaultDrainTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDefaultDrainTime = std::move(aValue);
    return copy;
  }

  /// Number of workers up to which the owner sends all orders itself; with more workers, linked
  /// nodes relay them.
  std::uint64_t DirectWorkerLimit() const { return mFields.mDirectWorkerLimit; }
  /// @returns a copy of this value with another DirectWorkerLimit.
  [[nodiscard]] CellSettings WithDirectWorkerLimit(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mDirectWorkerLimit = std::move(aValue);
    return copy;
  }

  /// Maximum size of an append, so that it reaches the store within its time limit over a narrow
  /// link; what exceeds it follows in further appends.
  std::uint64_t AppendLimit() const { return mFields.mAppendLimit; }
  /// @returns a copy of this value with another AppendLimit.
  [[nodiscard]] CellSettings WithAppendLimit(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendLimit = std::move(aValue);
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
