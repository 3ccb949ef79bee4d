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

/// Row of the table of VMs that may be placed on.
class VmRow
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The VM.
    VmId mVm{};
    /// Its rack.
    RackId mRack{};
    /// Its availability zone.
    ZoneId mZone{};
    /// What it offers in all.
    Resources mCapacity{};
    /// What its tasks were given.
    Resources mCommitted{};
    /// What its tasks were seen to use beyond that.
    Resources mExcess{};
    /// Connections it takes at once.
    std::int64_t mConnections{ 0 };
    /// Tasks on it.
    std::int64_t mTasks{ 0 };
    /// Whether it gets nothing new.
    bool mLeaving{ false };
    /// Starts that failed since the last success.
    std::int64_t mFailures{ 0 };
    /// It is set aside until then; zero where it is not.
    Time mQuarantinedUntil{};
    /// How long it was set aside last.
    Time mBackoff{};
    /// Whether it was let back and gets one task at a time until one succeeds.
    bool mProbing{ false };
    /// Whether that one task is out.
    bool mProbeInFlight{ false };
    /// Whether its room is kept for the gang that is being gathered.
    bool mReserved{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  VmRow() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<VmRow> Create(Fields aFields) { return VmRow(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The VM.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns this value with another Vm.
  [[nodiscard]] VmRow WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Its rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns this value with another Rack.
  [[nodiscard]] VmRow WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Its availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns this value with another Zone.
  [[nodiscard]] VmRow WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// What it offers in all.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns this value with another Capacity.
  [[nodiscard]] VmRow WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// What its tasks were given.
  const Resources& Committed() const { return mFields.mCommitted; }
  /// @returns this value with another Committed.
  [[nodiscard]] VmRow WithCommitted(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCommitted = std::move(aValue);
    return copy;
  }

  /// What its tasks were seen to use beyond that.
  const Resources& Excess() const { return mFields.mExcess; }
  /// @returns this value with another Excess.
  [[nodiscard]] VmRow WithExcess(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mExcess = std::move(aValue);
    return copy;
  }

  /// Connections it takes at once.
  std::int64_t Connections() const { return mFields.mConnections; }
  /// @returns this value with another Connections.
  [[nodiscard]] VmRow WithConnections(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConnections = std::move(aValue);
    return copy;
  }

  /// Tasks on it.
  std::int64_t Tasks() const { return mFields.mTasks; }
  /// @returns this value with another Tasks.
  [[nodiscard]] VmRow WithTasks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// Whether it gets nothing new.
  bool Leaving() const { return mFields.mLeaving; }
  /// @returns this value with another Leaving.
  [[nodiscard]] VmRow WithLeaving(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaving = std::move(aValue);
    return copy;
  }

  /// Starts that failed since the last success.
  std::int64_t Failures() const { return mFields.mFailures; }
  /// @returns this value with another Failures.
  [[nodiscard]] VmRow WithFailures(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFailures = std::move(aValue);
    return copy;
  }

  /// It is set aside until then; zero where it is not.
  Time QuarantinedUntil() const { return mFields.mQuarantinedUntil; }
  /// @returns this value with another QuarantinedUntil.
  [[nodiscard]] VmRow WithQuarantinedUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mQuarantinedUntil = std::move(aValue);
    return copy;
  }

  /// How long it was set aside last.
  Time Backoff() const { return mFields.mBackoff; }
  /// @returns this value with another Backoff.
  [[nodiscard]] VmRow WithBackoff(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mBackoff = std::move(aValue);
    return copy;
  }

  /// Whether it was let back and gets one task at a time until one succeeds.
  bool Probing() const { return mFields.mProbing; }
  /// @returns this value with another Probing.
  [[nodiscard]] VmRow WithProbing(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mProbing = std::move(aValue);
    return copy;
  }

  /// Whether that one task is out.
  bool ProbeInFlight() const { return mFields.mProbeInFlight; }
  /// @returns this value with another ProbeInFlight.
  [[nodiscard]] VmRow WithProbeInFlight(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mProbeInFlight = std::move(aValue);
    return copy;
  }

  /// Whether its room is kept for the gang that is being gathered.
  bool Reserved() const { return mFields.mReserved; }
  /// @returns this value with another Reserved.
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
