#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigPublish.h"

namespace by {

/// Publishes a configuration.
class PublishConfig
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// The change.
    ConfigPublish mChange{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PublishConfig() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PublishConfig> Create(Fields aFields)
  {
    return PublishConfig(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// The change.
  const ConfigPublish& Change() const { return mFields.mChange; }
  /// @returns a copy of this value with another Change.
  [[nodiscard]] PublishConfig WithChange(ConfigPublish aValue) const
  {
    auto copy = *this;
    copy.mFields.mChange = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PublishConfig&, const PublishConfig&) = default;
  friend auto operator<=>(const PublishConfig&, const PublishConfig&) = default;

private:
  explicit PublishConfig(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
