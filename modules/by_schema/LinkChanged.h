#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"

namespace by {

/// The link to the owner was established or lost.
class LinkChanged
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Endpoint of the owner.
    Endpoint mPeer{};
    /// Whether the link is established.
    bool mUp{ false };
    /// Whether the owner's machine refused the connection because no process listens there.
    bool mRefused{ false };
    /// Number of the link, counted by this process; each connection has its own.
    std::uint64_t mLink{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LinkChanged() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LinkChanged> Create(Fields aFields)
  {
    return LinkChanged(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Endpoint of the owner.
  const Endpoint& Peer() const { return mFields.mPeer; }
  /// @returns a copy of this value with another Peer.
  [[nodiscard]] LinkChanged WithPeer(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  /// Whether the link is established.
  bool Up() const { return mFields.mUp; }
  /// @returns a copy of this value with another Up.
  [[nodiscard]] LinkChanged WithUp(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mUp = std::move(aValue);
    return copy;
  }

  /// Whether the owner's machine refused the connection because no process listens there.
  bool Refused() const { return mFields.mRefused; }
  /// @returns a copy of this value with another Refused.
  [[nodiscard]] LinkChanged WithRefused(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mRefused = std::move(aValue);
    return copy;
  }

  /// Number of the link, counted by this process; each connection has its own.
  std::uint64_t Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] LinkChanged WithLink(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LinkChanged&, const LinkChanged&) = default;
  friend auto operator<=>(const LinkChanged&, const LinkChanged&) = default;

private:
  explicit LinkChanged(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
