#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"

namespace by {

/// Who may act for a cell; decided by the order of claims in the store.
class CellClaim
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Grows with each claim; fences earlier owners.
    std::uint64_t mEpoch{ 0 };
    /// The owner.
    std::string mNode{};
    /// Drawn anew at each start of the owner's process.
    std::uint64_t mIncarnation{ 0 };
    /// Where the owner takes messages of other nodes.
    Endpoint mLink{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  CellClaim() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<CellClaim> Create(Fields aFields) { return CellClaim(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Grows with each claim; fences earlier owners.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] CellClaim WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// The owner.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] CellClaim WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Drawn anew at each start of the owner's process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] CellClaim WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Where the owner takes messages of other nodes.
  const Endpoint& Link() const { return mFields.mLink; }
  /// @returns this value with another Link.
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
