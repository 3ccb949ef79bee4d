#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/ConfigDocument.h"

namespace by {

/// Configuration in force.
class ConfigRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Version of the configuration; increases by one with each accepted change.
    std::uint64_t mVersion{ 0 };
    /// When the platform accepted the configuration.
    Time mAt{};
    /// Operator who published it.
    std::string mOperatorName{};
    /// Content of the configuration.
    ConfigDocument mDocument{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigRow> Create(Fields aFields) { return ConfigRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Version of the configuration; increases by one with each accepted change.
  std::uint64_t Version() const { return mFields.mVersion; }
  /// @returns a copy of this value with another Version.
  [[nodiscard]] ConfigRow WithVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mVersion = std::move(aValue);
    return copy;
  }

  /// When the platform accepted the configuration.
  Time At() const { return mFields.mAt; }
  /// @returns a copy of this value with another At.
  [[nodiscard]] ConfigRow WithAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAt = std::move(aValue);
    return copy;
  }

  /// Operator who published it.
  const std::string& OperatorName() const { return mFields.mOperatorName; }
  /// @returns a copy of this value with another OperatorName.
  [[nodiscard]] ConfigRow WithOperatorName(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mOperatorName = std::move(aValue);
    return copy;
  }

  /// Content of the configuration.
  const ConfigDocument& Document() const { return mFields.mDocument; }
  /// @returns a copy of this value with another Document.
  [[nodiscard]] ConfigRow WithDocument(ConfigDocument aValue) const
  {
    auto copy = *this;
    copy.mFields.mDocument = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfigRow&, const ConfigRow&) = default;
  friend auto operator<=>(const ConfigRow&, const ConfigRow&) = default;

private:
  explicit ConfigRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
