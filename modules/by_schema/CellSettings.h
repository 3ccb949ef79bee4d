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
    Time mLongestLease{ Time::FromMilliseconds(10000) };
    /// How long the owner goes on renewing without a word from the store.
    Time mAuthority{ Time::FromMilliseconds(5000) };
    /// Longest pause between looks at a worker with runs; also how late an early end is seen.
    Time mLookInterval{ Time::FromMilliseconds(250) };
    /// Shortest pause between looks at a worker; by then the ends of the last one are stored.
    Time mLookPause{ Time::FromMilliseconds(30) };
    /// Bound on the answer to an order, and on what a look takes beyond its wait.
    Time mOrderPatience{ Time::FromMilliseconds(500) };
    /// Pause before an unanswered order is sent again.
    Time mOrderPause{ Time::FromMilliseconds(100) };
    /// Pause between appends, so that one call carries many records.
    Time mAppendPause{ Time::FromMilliseconds(20) };
    /// Pause after the store turned an append away.
    Time mAppendRetry{ Time::FromMilliseconds(100) };
    /// After this long without an answer of the store, callers are told that the outcome is open.
    Time mAppendPatience{ Time::FromMilliseconds(1500) };
    /// An append that takes longer shows that the store is lost and not just slow.
    Time mStoreDoubt{ Time::FromMilliseconds(1200) };
    /// How long a look may wait at the worker for an end.
    Time mLookWait{ Time::FromMilliseconds(1000) };
    /// Jobs that may be open at once; further ones are refused.
    std::uint64_t mJobLimit{ 50000 };
    /// How many times as long a task takes away from its data.
    double mRemoteFactor{ 2 };
    /// Failures in a row after which a worker is set aside.
    std::uint32_t mFailureLimit{ 2 };
    /// How long a worker is set aside before it is probed.
    Time mAside{ Time::FromMilliseconds(2000) };
    /// How long the outcome of a job is kept.
    Time mOutcomeKept{ Time::FromMilliseconds(120000) };
    /// A task without progress for this long is taken as hung.
    Time mHangLimit{ Time::FromMilliseconds(2000) };
    /// Pause between reads of the registry, whose entries are written again all the time; small
    /// beside the time that a worker stays once it drains.
    Time mRegistryPause{ Time::FromMilliseconds(250) };
    /// How long a machine is down for its upkeep.
    Time mUpkeepTime{ Time::FromMilliseconds(2000) };
    /// A new owner gives no orders for machines before those of its predecessor are this old.
    Time mMachineQuiet{ Time::FromMilliseconds(3000) };
    /// How long a worker stays that drains without telling for how long.
    Time mDrainTime{ Time::FromMilliseconds(2000) };

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
  Time LongestLease() const { return mFields.mLongestLease; }
  /// @returns this value with another LongestLease.
  [[nodiscard]] CellSettings WithLongestLease(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLongestLease = std::move(aValue);
    return copy;
  }

  /// How long the owner goes on renewing without a word from the store.
  Time Authority() const { return mFields.mAuthority; }
  /// @returns this value with another Authority.
  [[nodiscard]] CellSettings WithAuthority(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAuthority = std::move(aValue);
    return copy;
  }

  /// Longest pause between looks at a worker with runs; also how late an early end is seen.
  Time LookInterval() const { return mFields.mLookInterval; }
  /// @returns this value with another LookInterval.
  [[nodiscard]] CellSettings WithLookInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLookInterval = std::move(aValue);
    return copy;
  }

  /// Shortest pause between looks at a worker; by then the ends of the last one are stored.
  Time LookPause() const { return mFields.mLookPause; }
  /// @returns this value with another LookPause.
  [[nodiscard]] CellSettings WithLookPause(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLookPause = std::move(aValue);
    return copy;
  }

  /// Bound on the answer to an order, and on what a look takes beyond its wait.
  Time OrderPatience() const { return mFields.mOrderPatience; }
  /// @returns this value with another OrderPatience.
  [[nodiscard]] CellSettings WithOrderPatience(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderPatience = std::move(aValue);
    return copy;
  }

  /// Pause before an unanswered order is sent again.
  Time OrderPause() const { return mFields.mOrderPause; }
  /// @returns this value with another OrderPause.
  [[nodiscard]] CellSettings WithOrderPause(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOrderPause = std::move(aValue);
    return copy;
  }

  /// Pause between appends, so that one call carries many records.
  Time AppendPause() const { return mFields.mAppendPause; }
  /// @returns this value with another AppendPause.
  [[nodiscard]] CellSettings WithAppendPause(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendPause = std::move(aValue);
    return copy;
  }

  /// Pause after the store turned an append away.
  Time AppendRetry() const { return mFields.mAppendRetry; }
  /// @returns this value with another AppendRetry.
  [[nodiscard]] CellSettings WithAppendRetry(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendRetry = std::move(aValue);
    return copy;
  }

  /// After this long without an answer of the store, callers are told that the outcome is open.
  Time AppendPatience() const { return mFields.mAppendPatience; }
  /// @returns this value with another AppendPatience.
  [[nodiscard]] CellSettings WithAppendPatience(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppendPatience = std::move(aValue);
    return copy;
  }

  /// An append that takes longer shows that the store is lost and not just slow.
  Time StoreDoubt() const { return mFields.mStoreDoubt; }
  /// @returns this value with another StoreDoubt.
  [[nodiscard]] CellSettings WithStoreDoubt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mStoreDoubt = std::move(aValue);
    return copy;
  }

  /// How long a look may wait at the worker for an end.
  Time LookWait() const { return mFields.mLookWait; }
  /// @returns this value with another LookWait.
  [[nodiscard]] CellSettings WithLookWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLookWait = std::move(aValue);
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
  double RemoteFactor() const { return mFields.mRemoteFactor; }
  /// @returns this value with another RemoteFactor.
  [[nodiscard]] CellSettings WithRemoteFactor(double aValue) const
  {
    auto copy = *this;
    copy.mFields.mRemoteFactor = std::move(aValue);
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
  Time Aside() const { return mFields.mAside; }
  /// @returns this value with another Aside.
  [[nodiscard]] CellSettings WithAside(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAside = std::move(aValue);
    return copy;
  }

  /// How long the outcome of a job is kept.
  Time OutcomeKept() const { return mFields.mOutcomeKept; }
  /// @returns this value with another OutcomeKept.
  [[nodiscard]] CellSettings WithOutcomeKept(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcomeKept = std::move(aValue);
    return copy;
  }

  /// A task without progress for this long is taken as hung.
  Time HangLimit() const { return mFields.mHangLimit; }
  /// @returns this value with another HangLimit.
  [[nodiscard]] CellSettings WithHangLimit(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHangLimit = std::move(aValue);
    return copy;
  }

  /// Pause between reads of the registry, whose entries are written again all the time; small
  /// beside the time that a worker stays once it drains.
  Time RegistryPause() const { return mFields.mRegistryPause; }
  /// @returns this value with another RegistryPause.
  [[nodiscard]] CellSettings WithRegistryPause(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegistryPause = std::move(aValue);
    return copy;
  }

  /// How long a machine is down for its upkeep.
  Time UpkeepTime() const { return mFields.mUpkeepTime; }
  /// @returns this value with another UpkeepTime.
  [[nodiscard]] CellSettings WithUpkeepTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mUpkeepTime = std::move(aValue);
    return copy;
  }

  /// A new owner gives no orders for machines before those of its predecessor are this old.
  Time MachineQuiet() const { return mFields.mMachineQuiet; }
  /// @returns this value with another MachineQuiet.
  [[nodiscard]] CellSettings WithMachineQuiet(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachineQuiet = std::move(aValue);
    return copy;
  }

  /// How long a worker stays that drains without telling for how long.
  Time DrainTime() const { return mFields.mDrainTime; }
  /// @returns this value with another DrainTime.
  [[nodiscard]] CellSettings WithDrainTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDrainTime = std::move(aValue);
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
