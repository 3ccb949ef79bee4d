#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Prints the version.
class VersionCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to print the version without the name.
    bool mBrief{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  VersionCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<VersionCommand> Create(Fields aFields)
  {
    return VersionCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to print the version without the name.
  bool Brief() const { return mFields.mBrief; }
  /// @returns a copy of this value with another Brief.
  [[nodiscard]] VersionCommand WithBrief(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mBrief = std::move(aValue);
    return copy;
  }

  friend bool operator==(const VersionCommand&, const VersionCommand&) = default;
  friend auto operator<=>(const VersionCommand&, const VersionCommand&) = default;

private:
  explicit VersionCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
