#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows which version is in force on which node.
class ConfigStatusCommand
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to include suspected nodes.
    bool mAll{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigStatusCommand() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigStatusCommand> Create(Fields aFields)
  {
    return ConfigStatusCommand(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to include suspected nodes.
  bool All() const { return mFields.mAll; }
  /// @returns a copy of this value with another All.
  [[nodiscard]] ConfigStatusCommand WithAll(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAll = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfigStatusCommand&, const ConfigStatusCommand&) = default;
  friend auto operator<=>(const ConfigStatusCommand&, const ConfigStatusCommand&) = default;

private:
  explicit ConfigStatusCommand(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
