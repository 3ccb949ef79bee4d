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
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Sequence number of the read within the node's process.
    std::uint64_t mNumber{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReadClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReadClaim> Create(Fields aFields) { return ReadClaim(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Sequence number of the read within the node's process.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
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
