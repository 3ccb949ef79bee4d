#include "by_schema/ClusterSettings.h"

#include "by_core/CheckRange.h"

namespace by {

absl::StatusOr<ClusterSettings>
ClusterSettings::Create(Fields aFields)
{
  {
    const auto& mFields = aFields;
    auto status =
      CheckRange("heartbeat_interval", mFields.mHeartbeatInterval.Milliseconds(), 20, 10000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("suspect_after", mFields.mSuspectAfter.Milliseconds(), 50, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("lease_ttl", mFields.mLeaseTtl.Milliseconds(), 200, 600000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("lease_renewal", mFields.mLeaseRenewal.Milliseconds(), 50, 60000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("clock_drift", mFields.mClockDrift.Milliseconds(), 0, 10000);
    if (!status.ok()) {
      return status;
    }
  }
  {
    const auto& mFields = aFields;
    auto status = CheckRange("drain_bound", mFields.mDrainBound.Milliseconds(), 100, 3600000);
    if (!status.ok()) {
      return status;
    }
  }
  return ClusterSettings(std::move(aFields));
}

} // namespace by
