#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Asks the receiver for its configuration.
class ConfigRequest
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Version in force at the sender; zero for none. The receiver answers only with a higher one.
    std::uint64_t mKnownVersion{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ConfigRequest() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ConfigRequest> Create(Fields aFields)
  {
    return ConfigRequest(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Version in force at the sender; zero for none. The receiver answers only with a higher one.
  std::uint64_t KnownVersion() const { return mFields.mKnownVersion; }
  /// @returns a copy of this value with another KnownVersion.
  [[nodiscard]] ConfigRequest WithKnownVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mKnownVersion = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ConfigRequest&, const ConfigRequest&) = default;
  friend auto operator<=>(const ConfigRequest&, const ConfigRequest&) = default;

private:
  explicit ConfigRequest(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
