#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CellClaim.h"
#include "by_schema/StoreOutcome.h"

namespace by {

/// A WriteClaim call ended.
class ClaimWritten
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Outcome of the call; StoreOutcome::Conflict if another claim was written first.
    StoreOutcome mOutcome{};
    /// Claim that was to be written.
    CellClaim mClaim{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClaimWritten() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClaimWritten> Create(Fields aFields)
  {
    return ClaimWritten(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Outcome of the call; StoreOutcome::Conflict if another claim was written first.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] ClaimWritten WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Claim that was to be written.
  const CellClaim& Claim() const { return mFields.mClaim; }
  /// @returns a copy of this value with another Claim.
  [[nodiscard]] ClaimWritten WithClaim(CellClaim aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaim = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClaimWritten&, const ClaimWritten&) = default;
  friend auto operator<=>(const ClaimWritten&, const ClaimWritten&) = default;

private:
  explicit ClaimWritten(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
