#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Endpoint.h"

namespace by {

/// Another entry node.
class PeerSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{};
    /// Availability zone of the node.
    ZoneId mZone{};
    /// Endpoint of the node for heartbeats over UDP and frames over TCP.
    Endpoint mWire{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PeerSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PeerSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }

  /// Availability zone of the node.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] PeerSettings WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Endpoint of the node for heartbeats over UDP and frames over TCP.
  const Endpoint& Wire() const { return mFields.mWire; }
  /// @returns a copy of this value with another Wire.
  [[nodiscard]] PeerSettings WithWire(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mWire = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
  friend auto operator<=>(const PeerSettings&, const PeerSettings&) = default;

private:
  explicit PeerSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
