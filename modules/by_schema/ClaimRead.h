#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CellClaim.h"
#include "by_schema/StoreOutcome.h"

namespace by {

/// A read of the newest claim ended.
class ClaimRead
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Outcome of the read.
    StoreOutcome mOutcome{};
    /// Newest claim; absent if the cell was never claimed.
    std::optional<CellClaim> mClaim{};
    /// Offset at which the log of claims ends; a claim that follows this read is written at this
    /// offset.
    std::uint64_t mEnd{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClaimRead() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClaimRead> Create(Fields aFields) { return ClaimRead(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Outcome of the read.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] ClaimRead WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Newest claim; absent if the cell was never claimed.
  const std::optional<CellClaim>& Claim() const { return mFields.mClaim; }
  /// @returns a copy of this value with another Claim.
  [[nodiscard]] ClaimRead WithClaim(std::optional<CellClaim> aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaim = std::move(aValue);
    return copy;
  }

  /// Offset at which the log of claims ends; a claim that follows this read is written at this
  /// offset.
  std::uint64_t End() const { return mFields.mEnd; }
  /// @returns a copy of this value with another End.
  [[nodiscard]] ClaimRead WithEnd(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEnd = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClaimRead&, const ClaimRead&) = default;
  friend auto operator<=>(const ClaimRead&, const ClaimRead&) = default;

private:
  explicit ClaimRead(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
