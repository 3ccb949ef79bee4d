#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Frames to another entry node could not be sent, or the connection to it was lost.
class PeerUnreachable
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the other node.
    NodeId mPeer{};
    /// Requests whose frame certainly did not leave this node.
    std::vector<RequestId> mUnsent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PeerUnreachable() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PeerUnreachable> Create(Fields aFields)
  {
    return PeerUnreachable(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the other node.
  const NodeId& Peer() const { return mFields.mPeer; }
  /// @returns a copy of this value with another Peer.
  [[nodiscard]] PeerUnreachable WithPeer(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  /// Requests whose frame certainly did not leave this node.
  const std::vector<RequestId>& Unsent() const { return mFields.mUnsent; }
  /// @returns a copy of this value with another Unsent.
  [[nodiscard]] PeerUnreachable WithUnsent(std::vector<RequestId> aValue) const
  {
    auto copy = *this;
    copy.mFields.mUnsent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PeerUnreachable&, const PeerUnreachable&) = default;
  friend auto operator<=>(const PeerUnreachable&, const PeerUnreachable&) = default;

private:
  explicit PeerUnreachable(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
