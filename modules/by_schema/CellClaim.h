#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"

namespace by {

/// Claim to the ownership of a cell; the order of claims in the store decides who owns it.
class CellClaim
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Epoch of the claim; increases with each claim and fences earlier owners.
    std::uint64_t mEpoch{ 0 };
    /// Name of the owner.
    std::string mNode{};
    /// Identifies the owner's process; drawn at random at each process start.
    std::uint64_t mIncarnation{ 0 };
    /// Endpoint at which the owner accepts links from other nodes.
    Endpoint mLink{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CellClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CellClaim> Create(Fields aFields) { return CellClaim(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Epoch of the claim; increases with each claim and fences earlier owners.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] CellClaim WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Name of the owner.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] CellClaim WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies the owner's process; drawn at random at each process start.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] CellClaim WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Endpoint at which the owner accepts links from other nodes.
  const Endpoint& Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] CellClaim WithLink(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CellClaim&, const CellClaim&) = default;
  friend auto operator<=>(const CellClaim&, const CellClaim&) = default;

private:
  explicit CellClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
