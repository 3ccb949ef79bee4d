#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// The planned stop is complete.
class Exit
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether everything in flight was answered.
    bool mClean{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  Exit() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<Exit> Create(Fields aFields) { return Exit(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether everything in flight was answered.
  bool Clean() const { return mFields.mClean; }
  /// @returns this value with another Clean.
  [[nodiscard]] Exit WithClean(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mClean = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Exit&, const Exit&) = default;
  friend auto operator<=>(const Exit&, const Exit&) = default;

private:
  explicit Exit(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
