#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CellClaim.h"

namespace by {

/// Claims the cell, provided that no other claim was written in the meantime.
class WriteClaim
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Claim to write.
    CellClaim mClaim{};
    /// Offset at which the log of claims must still end.
    std::uint64_t mEnd{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WriteClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WriteClaim> Create(Fields aFields)
  {
    return WriteClaim(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Claim to write.
  const CellClaim& Claim() const { return mFields.mClaim; }
  /// @returns a copy of this value with another Claim.
  [[nodiscard]] WriteClaim WithClaim(CellClaim aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaim = std::move(aValue);
    return copy;
  }

  /// Offset at which the log of claims must still end.
  std::uint64_t End() const { return mFields.mEnd; }
  /// @returns a copy of this value with another End.
  [[nodiscard]] WriteClaim WithEnd(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnd = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WriteClaim&, const WriteClaim&) = default;
  friend auto operator<=>(const WriteClaim&, const WriteClaim&) = default;

private:
  explicit WriteClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
