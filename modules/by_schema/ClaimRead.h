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

/// The newest claim was read.
class ClaimRead
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How it ended.
    StoreOutcome mOutcome{};
    /// The claim; absent where there was none.
    std::optional<CellClaim> mClaim{};
    /// Where the log of claims ends.
    std::uint64_t mEnd{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ClaimRead() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ClaimRead> Create(Fields aFields) { return ClaimRead(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How it ended.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] ClaimRead WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The claim; absent where there was none.
  const std::optional<CellClaim>& Claim() const { return mFields.mClaim; }
  /// @returns this value with another Claim.
  [[nodiscard]] ClaimRead WithClaim(std::optional<CellClaim> aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaim = std::move(aValue);
    return copy;
  }

  /// Where the log of claims ends.
  std::uint64_t End() const { return mFields.mEnd; }
  /// @returns this value with another End.
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
