#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the state of a node.
class DumpCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to truncate long tables.
    bool mBrief{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  DumpCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<DumpCommand> Create(Fields aFields)
  {
    return DumpCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to truncate long tables.
  bool Brief() const { return mFields.mBrief; }
  /// @returns a copy of this value with another Brief.
  [[nodiscard]] DumpCommand WithBrief(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mBrief = std::move(aValue);
    return copy;
  }

  friend bool operator==(const DumpCommand&, const DumpCommand&) = default;
  friend auto operator<=>(const DumpCommand&, const DumpCommand&) = default;

private:
  explicit DumpCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
