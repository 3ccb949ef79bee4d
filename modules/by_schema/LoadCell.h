#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Fences earlier owners at the store and reads all that it keeps of the cell.
class LoadCell
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The owner's epoch.
    std::uint64_t mEpoch{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LoadCell() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LoadCell> Create(Fields aFields) { return LoadCell(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The owner's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
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
