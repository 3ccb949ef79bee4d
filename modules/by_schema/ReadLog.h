#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Reads the log from an offset other than the one after the last read.
class ReadLog
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Offset to read from.
    std::uint64_t mFromOffset{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ReadLog() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ReadLog> Create(Fields aFields) { return ReadLog(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Offset to read from.
  std::uint64_t FromOffset() const { return mFields.mFromOffset; }
  /// @returns a copy of this value with another FromOffset.
  [[nodiscard]] ReadLog WithFromOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFromOffset = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ReadLog&, const ReadLog&) = default;
  friend auto operator<=>(const ReadLog&, const ReadLog&) = default;

private:
  explicit ReadLog(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
