#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Fences earlier owners at the store and reads all records of the cell.
class LoadCell
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Epoch of the new owner.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LoadCell() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LoadCell> Create(Fields aFields) { return LoadCell(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Epoch of the new owner.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LoadCell WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LoadCell&, const LoadCell&) = default;
  friend auto operator<=>(const LoadCell&, const LoadCell&) = default;

private:
  explicit LoadCell(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
