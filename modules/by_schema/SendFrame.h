#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_schema/Frame.h"

namespace by {

/// Sends a frame to another entry node.
class SendFrame
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the other node.
    NodeId mPeer{};
    /// Frame to send.
    by::Frame mFrame{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SendFrame() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SendFrame> Create(Fields aFields) { return SendFrame(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the other node.
  const NodeId& Peer() const { return mFields.mPeer; }
  /// @returns a copy of this value with another Peer.
  [[nodiscard]] SendFrame WithPeer(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mPeer = std::move(aValue);
    return copy;
  }

  /// Frame to send.
  const by::Frame& Frame() const { return mFields.mFrame; }
  /// @returns a copy of this value with another Frame.
  [[nodiscard]] SendFrame WithFrame(by::Frame aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrame = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SendFrame&, const SendFrame&) = default;
  friend auto operator<=>(const SendFrame&, const SendFrame&) = default;

private:
  explicit SendFrame(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
