#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/EntrySettings.h"

namespace by {

/// The settings were read again while the process runs.
class SettingsRead
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Those that were read.
    EntrySettings mSettings{};
    /// What is wrong with them; empty for nothing.
    std::string mError{};
    /// Whether something changed that only a new process takes up, such as an address.
    bool mNeedsRestart{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  SettingsRead() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<SettingsRead> Create(Fields aFields)
  {
    return SettingsRead(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Those that were read.
  const EntrySettings& Settings() const { return mFields.mSettings; }
  /// @returns this value with another Settings.
  [[nodiscard]] SettingsRead WithSettings(EntrySettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mSettings = std::move(aValue);
    return copy;
  }

  /// What is wrong with them; empty for nothing.
  const std::string& Error() const { return mFields.mError; }
  /// @returns this value with another Error.
  [[nodiscard]] SettingsRead WithError(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mError = std::move(aValue);
    return copy;
  }

  /// Whether something changed that only a new process takes up, such as an address.
  bool NeedsRestart() const { return mFields.mNeedsRestart; }
  /// @returns this value with another NeedsRestart.
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
