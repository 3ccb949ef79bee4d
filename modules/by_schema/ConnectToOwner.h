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
  /// The fields by name, for Create().
  struct Fields
  {
    /// Where the owner is.
    Endpoint mPeer{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ConnectToOwner() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ConnectToOwner> Create(Fields aFields)
  {
    return ConnectToOwner(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Where the owner is.
  const Endpoint& Peer() const { return mFields.mPeer; }
  /// @returns this value with another Peer.
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
