#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/ConfigDocument.h"

namespace by {

/// Publishes a configuration; valid only while the base version is the current one.
class ConfigPublish
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Version that the change is based on.
    std::uint64_t mBaseVersion{ 0 };
    /// Content of the new configuration.
    ConfigDocument mDocument{};
    /// Operator who publishes it.
    std::string mOperatorName{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigPublish() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigPublish> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Version that the change is based on.
  std::uint64_t BaseVersion() const { return mFields.mBaseVersion; }
  /// @returns a copy of this value with another BaseVersion.
  [[nodiscard]] ConfigPublish WithBaseVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mBaseVersion = std::move(aValue);
    return copy;
  }

  /// Content of the new configuration.
  const ConfigDocument& Document() const { return mFields.mDocument; }
  /// @returns a copy of this value with another Document.
  [[nodiscard]] ConfigPublish WithDocument(ConfigDocument aValue) const
  {
    auto copy = *this;
    copy.mFields.mDocument = std::move(aValue);
    return copy;
  }

  /// Operator who publishes it.
  const std::string& OperatorName() const { return mFields.mOperatorName; }

  friend bool operator==(const ConfigPublish&, const ConfigPublish&) = default;
  friend auto operator<=>(const ConfigPublish&, const ConfigPublish&) = default;

private:
  explicit ConfigPublish(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
