#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Endpoint.h"
#include "by_schema/Resources.h"
#include "by_schema/VmRole.h"
#include "by_schema/VmState.h"

namespace by {

/// Description of one VM in the platform's list.
class VmDescription
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the VM.
    VmId mVm{};
    /// Purpose of the VM.
    VmRole mRole{};
    /// Whether it accepts new tasks.
    VmState mState{};
    /// Rack that it stands in.
    RackId mRack{};
    /// Availability zone.
    ZoneId mZone{};
    /// Region.
    std::string mRegion{};
    /// Endpoint at which it accepts calls.
    by::Endpoint mEndpoint{};
    /// Total resources.
    Resources mCapacity{};
    /// Maximum number of concurrent connections.
    std::int64_t mConnections{ 64 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VmDescription() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VmDescription> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the VM.
  const VmId& Vm() const { return mFields.mVm; }

  /// Purpose of the VM.
  VmRole Role() const { return mFields.mRole; }
  /// @returns a copy of this value with another Role.
  [[nodiscard]] VmDescription WithRole(VmRole aValue) const
  {
    auto copy = *this;
    copy.mFields.mRole = std::move(aValue);
    return copy;
  }

  /// Whether it accepts new tasks.
  VmState State() const { return mFields.mState; }
  /// @returns a copy of this value with another State.
  [[nodiscard]] VmDescription WithState(VmState aValue) const
  {
    auto copy = *this;
    copy.mFields.mState = std::move(aValue);
    return copy;
  }

  /// Rack that it stands in.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] VmDescription WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] VmDescription WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Region.
  const std::string& Region() const { return mFields.mRegion; }
  /// @returns a copy of this value with another Region.
  [[nodiscard]] VmDescription WithRegion(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegion = std::move(aValue);
    return copy;
  }

  /// Endpoint at which it accepts calls.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] VmDescription WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Total resources.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns a copy of this value with another Capacity.
  [[nodiscard]] VmDescription WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Maximum number of concurrent connections.
  std::int64_t Connections() const { return mFields.mConnections; }

  friend bool operator==(const VmDescription&, const VmDescription&) = default;
  friend auto operator<=>(const VmDescription&, const VmDescription&) = default;

private:
  explicit VmDescription(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
