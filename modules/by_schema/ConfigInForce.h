#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigRow.h"

namespace by {

/// A configuration took effect on this node.
class ConfigInForce
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The configuration.
    ConfigRow mConfig{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigInForce() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigInForce> Create(Fields aFields)
  {
    return ConfigInForce(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The configuration.
  const ConfigRow& Config() const { return mFields.mConfig; }
  /// @returns a copy of this value with another Config.
  [[nodiscard]] ConfigInForce WithConfig(ConfigRow aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfig = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfigInForce&, const ConfigInForce&) = default;
  friend auto operator<=>(const ConfigInForce&, const ConfigInForce&) = default;

private:
  explicit ConfigInForce(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
