#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Heartbeat.h"

namespace by {

/// A heartbeat arrived from another entry node.
class PeerHeartbeat
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The heartbeat.
    by::Heartbeat mHeartbeat{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PeerHeartbeat() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PeerHeartbeat> Create(Fields aFields)
  {
    return PeerHeartbeat(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The heartbeat.
  const by::Heartbeat& Heartbeat() const { return mFields.mHeartbeat; }
  /// @returns a copy of this value with another Heartbeat.
  [[nodiscard]] PeerHeartbeat WithHeartbeat(by::Heartbeat aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeartbeat = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
  friend auto operator<=>(const PeerHeartbeat&, const PeerHeartbeat&) = default;

private:
  explicit PeerHeartbeat(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
