#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"

namespace by {

/// The link to the owner is up, or went down.
class LinkChanged
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Where the owner is.
    Endpoint mPeer{};
    /// Whether it is up.
    bool mUp{ false };
    /// Whether the owner's machine answered that nothing listens there.
    bool mRefused{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LinkChanged() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LinkChanged> Create(Fields aFields)
  {
    return LinkChanged(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Where the owner is.
  const Endpoint& Peer() const { return mFields.mPeer; }
  /// @returns this value with another Peer.
  [[nodiscard]] LinkChanged WithPeer(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  /// Whether it is up.
  bool Up() const { return mFields.mUp; }
  /// @returns this value with another Up.
  [[nodiscard]] LinkChanged WithUp(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mUp = std::move(aValue);
    return copy;
  }

  /// Whether the owner's machine answered that nothing listens there.
  bool Refused() const { return mFields.mRefused; }
  /// @returns this value with another Refused.
  [[nodiscard]] LinkChanged WithRefused(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mRefused = std::move(aValue);
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
