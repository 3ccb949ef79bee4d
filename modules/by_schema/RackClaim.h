#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Claims a rack; valid only while the rack's epoch is previous_epoch. The claim raises the epoch
/// by one.
class RackClaim
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the rack.
    RackId mRack{};
    /// Entry node that claims the rack.
    NodeId mNode{};
    /// Identifies the process of that node.
    std::uint64_t mIncarnation{ 0 };
    /// Epoch that the claim follows.
    std::uint64_t mPreviousEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  RackClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<RackClaim> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the rack.
  const RackId& Rack() const { return mFields.mRack; }

  /// Entry node that claims the rack.
  const NodeId& Node() const { return mFields.mNode; }

  /// Identifies the process of that node.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] RackClaim WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Epoch that the claim follows.
  std::uint64_t PreviousEpoch() const { return mFields.mPreviousEpoch; }
  /// @returns a copy of this value with another PreviousEpoch.
  [[nodiscard]] RackClaim WithPreviousEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPreviousEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const RackClaim&, const RackClaim&) = default;
  friend auto operator<=>(const RackClaim&, const RackClaim&) = default;

private:
  explicit RackClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
