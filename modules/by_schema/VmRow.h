#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// Row of the table of VMs that tasks may be placed on.
class VmRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the VM.
    VmId mVm{};
    /// Rack that the VM stands in.
    RackId mRack{};
    /// Availability zone.
    ZoneId mZone{};
    /// Total resources of the VM.
    Resources mCapacity{};
    /// Resources that are committed to the tasks on the VM.
    Resources mCommitted{};
    /// Resources that the tasks on the VM were measured to use beyond their commitment.
    Resources mExcess{};
    /// Maximum number of concurrent connections.
    std::int64_t mConnections{ 0 };
    /// Number of tasks on the VM.
    std::int64_t mTasks{ 0 };
    /// Whether the VM accepts no new tasks because it is about to leave.
    bool mLeaving{ false };
    /// Number of failed starts since the last success.
    std::int64_t mFailures{ 0 };
    /// End of the current quarantine; zero if the VM is not quarantined.
    Time mQuarantinedUntil{};
    /// Length of the last quarantine.
    Time mBackoff{};
    /// Whether a quarantine has ended and the VM receives one task at a time until one succeeds.
    bool mProbing{ false };
    /// Whether a probing VM currently holds that one task.
    bool mProbeInFlight{ false };
    /// Whether the VM is reserved for the gang for which resources are being collected.
    bool mReserved{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VmRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VmRow> Create(Fields aFields) { return VmRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the VM.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] VmRow WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Rack that the VM stands in.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] VmRow WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] VmRow WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Total resources of the VM.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns a copy of this value with another Capacity.
  [[nodiscard]] VmRow WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Resources that are committed to the tasks on the VM.
  const Resources& Committed() const { return mFields.mCommitted; }
  /// @returns a copy of this value with another Committed.
  [[nodiscard]] VmRow WithCommitted(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCommitted = std::move(aValue);
    return copy;
  }

  /// Resources that the tasks on the VM were measured to use beyond their commitment.
  const Resources& Excess() const { return mFields.mExcess; }
  /// @returns a copy of this value with another Excess.
  [[nodiscard]] VmRow WithExcess(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mExcess = std::move(aValue);
    return copy;
  }

  /// Maximum number of concurrent connections.
  std::int64_t Connections() const { return mFields.mConnections; }
  /// @returns a copy of this value with another Connections.
  [[nodiscard]] VmRow WithConnections(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConnections = std::move(aValue);
    return copy;
  }

  /// Number of tasks on the VM.
  std::int64_t Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] VmRow WithTasks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Whether the VM accepts no new tasks because it is about to leave.
  bool Leaving() const { return mFields.mLeaving; }
  /// @returns a copy of this value with another Leaving.
  [[nodiscard]] VmRow WithLeaving(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaving = std::move(aValue);
    return copy;
  }

  /// Number of failed starts since the last success.
  std::int64_t Failures() const { return mFields.mFailures; }
  /// @returns a copy of this value with another Failures.
  [[nodiscard]] VmRow WithFailures(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailures = std::move(aValue);
    return copy;
  }

  /// End of the current quarantine; zero if the VM is not quarantined.
  Time QuarantinedUntil() const { return mFields.mQuarantinedUntil; }
  /// @returns a copy of this value with another QuarantinedUntil.
  [[nodiscard]] VmRow WithQuarantinedUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuarantinedUntil = std::move(aValue);
    return copy;
  }

  /// Length of the last quarantine.
  Time Backoff() const { return mFields.mBackoff; }
  /// @returns a copy of this value with another Backoff.
  [[nodiscard]] VmRow WithBackoff(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mBackoff = std::move(aValue);
    return copy;
  }

  /// Whether a quarantine has ended and the VM receives one task at a time until one succeeds.
  bool Probing() const { return mFields.mProbing; }
  /// @returns a copy of this value with another Probing.
  [[nodiscard]] VmRow WithProbing(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mProbing = std::move(aValue);
    return copy;
  }

  /// Whether a probing VM currently holds that one task.
  bool ProbeInFlight() const { return mFields.mProbeInFlight; }
  /// @returns a copy of this value with another ProbeInFlight.
  [[nodiscard]] VmRow WithProbeInFlight(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mProbeInFlight = std::move(aValue);
    return copy;
  }

  /// Whether the VM is reserved for the gang for which resources are being collected.
  bool Reserved() const { return mFields.mReserved; }
  /// @returns a copy of this value with another Reserved.
  [[nodiscard]] VmRow WithReserved(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReserved = std::move(aValue);
    return copy;
  }

  friend bool operator==(const VmRow&, const VmRow&) = default;
  friend auto operator<=>(const VmRow&, const VmRow&) = default;

private:
  explicit VmRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
