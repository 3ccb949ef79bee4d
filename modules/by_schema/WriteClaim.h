#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/CellClaim.h"

namespace by {

/// Claims the cell if no other claim came since.
class WriteClaim
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The claim.
    CellClaim mClaim{};
    /// Where the log of claims must end.
    std::uint64_t mEnd{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WriteClaim() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WriteClaim> Create(Fields aFields)
  {
    return WriteClaim(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The claim.
  const CellClaim& Claim() const { return mFields.mClaim; }
  /// @returns this value with another Claim.
  [[nodiscard]] WriteClaim WithClaim(CellClaim aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaim = std::move(aValue);
    return copy;
  }

  /// Where the log of claims must end.
  std::uint64_t End() const { return mFields.mEnd; }
  /// @returns this value with another End.
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
