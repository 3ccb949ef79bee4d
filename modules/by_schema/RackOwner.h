#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Owner of a rack.
class RackOwner
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the rack.
    RackId mRack{};
    /// Name of the owner; empty after it released the rack.
    NodeId mNode{};
    /// Identifies the owner's process.
    std::uint64_t mIncarnation{ 0 };
    /// Epoch of the owner, from 1.
    std::uint64_t mEpoch{ 0 };
    /// When the platform accepted the claim.
    Time mSince{};
    /// Whether the last owner released the rack, so that its leases need not expire first.
    bool mReleased{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RackOwner() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RackOwner> Create(Fields aFields) { return RackOwner(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] RackOwner WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Name of the owner; empty after it released the rack.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] RackOwner WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies the owner's process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] RackOwner WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Epoch of the owner, from 1.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] RackOwner WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// When the platform accepted the claim.
  Time Since() const { return mFields.mSince; }
  /// @returns a copy of this value with another Since.
  [[nodiscard]] RackOwner WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  /// Whether the last owner released the rack, so that its leases need not expire first.
  bool Released() const { return mFields.mReleased; }
  /// @returns a copy of this value with another Released.
  [[nodiscard]] RackOwner WithReleased(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleased = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RackOwner&, const RackOwner&) = default;
  friend auto operator<=>(const RackOwner&, const RackOwner&) = default;

private:
  explicit RackOwner(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
