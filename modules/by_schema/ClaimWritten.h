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

/// A claim was written, or was not.
class ClaimWritten
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How it ended.
    StoreOutcome mOutcome{};
    /// The claim.
    CellClaim mClaim{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ClaimWritten() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ClaimWritten> Create(Fields aFields)
  {
    return ClaimWritten(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How it ended.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] ClaimWritten WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The claim.
  const CellClaim& Claim() const { return mFields.mClaim; }
  /// @returns this value with another Claim.
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
