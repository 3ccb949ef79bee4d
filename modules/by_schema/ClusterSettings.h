#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Fencing.h"

namespace by {

/// Membership and ownership.
class ClusterSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Interval between heartbeats.
    Time mHeartbeatInterval{ Time::FromMilliseconds(500) };
    /// Suspicion timeout: time without a heartbeat after which another node is suspected to have
    /// failed.
    Time mSuspectAfter{ Time::FromMilliseconds(2000) };
    /// Duration of a lease on a VM.
    Time mLeaseTtl{ Time::FromMilliseconds(6000) };
    /// Interval between renewals of a lease.
    Time mLeaseRenewal{ Time::FromMilliseconds(1500) };
    /// Upper limit for the difference between the clocks of two machines and for their drift during
    /// a lease.
    Time mClockDrift{ Time::FromMilliseconds(250) };
    /// How the previous owner of a rack is prevented from acting.
    by::Fencing mFencing{};
    /// Maximum duration of a planned stop; when it has passed, the node answers all remaining
    /// requests and ends.
    Time mDrainBound{ Time::FromMilliseconds(30000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClusterSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClusterSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Interval between heartbeats.
  Time HeartbeatInterval() const { return mFields.mHeartbeatInterval; }

  /// Suspicion timeout: time without a heartbeat after which another node is suspected to have
  /// failed.
  Time SuspectAfter() const { return mFields.mSuspectAfter; }

  /// Duration of a lease on a VM.
  Time LeaseTtl() const { return mFields.mLeaseTtl; }

  /// Interval between renewals of a lease.
  Time LeaseRenewal() const { return mFields.mLeaseRenewal; }

  /// Upper limit for the difference between the clocks of two machines and for their drift during a
  /// lease.
  Time ClockDrift() const { return mFields.mClockDrift; }

  /// How the previous owner of a rack is prevented from acting.
  by::Fencing Fencing() const { return mFields.mFencing; }
  /// @returns a copy of this value with another Fencing.
  [[nodiscard]] ClusterSettings WithFencing(by::Fencing aValue) const
  {
    auto copy = *this;
    copy.mFields.mFencing = std::move(aValue);
    return copy;
  }

  /// Maximum duration of a planned stop; when it has passed, the node answers all remaining
  /// requests and ends.
  Time DrainBound() const { return mFields.mDrainBound; }

  friend bool operator==(const ClusterSettings&, const ClusterSettings&) = default;
  friend auto operator<=>(const ClusterSettings&, const ClusterSettings&) = default;

private:
  explicit ClusterSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
