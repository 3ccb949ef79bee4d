#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"

namespace by {

/// Opens the link to the owner; an empty address closes it.
class ConnectToOwner
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint of the owner.
    Endpoint mPeer{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConnectToOwner() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConnectToOwner> Create(Fields aFields)
  {
    return ConnectToOwner(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint of the owner.
  const Endpoint& Peer() const { return mFields.mPeer; }
  /// @returns a copy of this value with another Peer.
  [[nodiscard]] ConnectToOwner WithPeer(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConnectToOwner&, const ConnectToOwner&) = default;
  friend auto operator<=>(const ConnectToOwner&, const ConnectToOwner&) = default;

private:
  explicit ConnectToOwner(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
