#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Lets the process end.
class ExitEntry
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether all callers' requests were answered; otherwise the time for the stop ran out.
    bool mClean{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ExitEntry() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ExitEntry> Create(Fields aFields) { return ExitEntry(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether all callers' requests were answered; otherwise the time for the stop ran out.
  bool Clean() const { return mFields.mClean; }
  /// @returns a copy of this value with another Clean.
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
