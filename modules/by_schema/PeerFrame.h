#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Frame.h"

namespace by {

/// A frame arrived from another entry node.
class PeerFrame
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The frame.
    by::Frame mFrame{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PeerFrame() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PeerFrame> Create(Fields aFields) { return PeerFrame(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The frame.
  const by::Frame& Frame() const { return mFields.mFrame; }
  /// @returns a copy of this value with another Frame.
  [[nodiscard]] PeerFrame WithFrame(by::Frame aValue) const
  {
    auto copy = *this;
    copy.mFields.mFrame = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PeerFrame&, const PeerFrame&) = default;
  friend auto operator<=>(const PeerFrame&, const PeerFrame&) = default;

private:
  explicit PeerFrame(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
