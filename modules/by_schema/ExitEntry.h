#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// The process may end.
class ExitEntry
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether nothing was left open.
    bool mClean{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ExitEntry() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ExitEntry> Create(Fields aFields) { return ExitEntry(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether nothing was left open.
  bool Clean() const { return mFields.mClean; }
  /// @returns this value with another Clean.
  [[nodiscard]] ExitEntry WithClean(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mClean = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ExitEntry&, const ExitEntry&) = default;
  friend auto operator<=>(const ExitEntry&, const ExitEntry&) = default;

private:
  explicit ExitEntry(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
