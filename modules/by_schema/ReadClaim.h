#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Reads the newest claim of the cell.
class ReadClaim
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Counts the reads of one node.
    std::uint64_t mNumber{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ReadClaim() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ReadClaim> Create(Fields aFields) { return ReadClaim(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Counts the reads of one node.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] ReadClaim WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReadClaim&, const ReadClaim&) = default;
  friend auto operator<=>(const ReadClaim&, const ReadClaim&) = default;

private:
  explicit ReadClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
