#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Shows the configuration in force.
class ShowConfig
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to include the content of the configuration besides the versions.
    bool mDocument{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ShowConfig() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ShowConfig> Create(Fields aFields)
  {
    return ShowConfig(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to include the content of the configuration besides the versions.
  bool Document() const { return mFields.mDocument; }
  /// @returns a copy of this value with another Document.
  [[nodiscard]] ShowConfig WithDocument(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDocument = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ShowConfig&, const ShowConfig&) = default;
  friend auto operator<=>(const ShowConfig&, const ShowConfig&) = default;

private:
  explicit ShowConfig(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
