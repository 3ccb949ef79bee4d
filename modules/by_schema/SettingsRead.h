#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/EntrySettings.h"

namespace by {

/// The settings file was read again while the process runs.
class SettingsRead
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Settings that were read; meaningful only without an error.
    EntrySettings mSettings{};
    /// Why the settings cannot be used; empty if they can.
    std::string mError{};
    /// Whether a setting changed that takes effect only in a new process, such as an address.
    bool mNeedsRestart{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  SettingsRead() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<SettingsRead> Create(Fields aFields)
  {
    return SettingsRead(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Settings that were read; meaningful only without an error.
  const EntrySettings& Settings() const { return mFields.mSettings; }
  /// @returns a copy of this value with another Settings.
  [[nodiscard]] SettingsRead WithSettings(EntrySettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mSettings = std::move(aValue);
    return copy;
  }

  /// Why the settings cannot be used; empty if they can.
  const std::string& Error() const { return mFields.mError; }
  /// @returns a copy of this value with another Error.
  [[nodiscard]] SettingsRead WithError(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mError = std::move(aValue);
    return copy;
  }

  /// Whether a setting changed that takes effect only in a new process, such as an address.
  bool NeedsRestart() const { return mFields.mNeedsRestart; }
  /// @returns a copy of this value with another NeedsRestart.
  [[nodiscard]] SettingsRead WithNeedsRestart(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mNeedsRestart = std::move(aValue);
    return copy;
  }

  friend bool operator==(const SettingsRead&, const SettingsRead&) = default;
  friend auto operator<=>(const SettingsRead&, const SettingsRead&) = default;

private:
  explicit SettingsRead(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
