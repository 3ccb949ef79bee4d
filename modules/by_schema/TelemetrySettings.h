#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LogFormat.h"

namespace by {

/// Logs and metrics.
class TelemetrySettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Lowest level that is logged: trace, debug, info, warn or error.
    std::string mLogLevel{ "info" };
    /// Format of the log.
    by::LogFormat mLogFormat{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  TelemetrySettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<TelemetrySettings> Create(Fields aFields)
  {
    return TelemetrySettings(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Lowest level that is logged: trace, debug, info, warn or error.
  const std::string& LogLevel() const { return mFields.mLogLevel; }
  /// @returns a copy of this value with another LogLevel.
  [[nodiscard]] TelemetrySettings WithLogLevel(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogLevel = std::move(aValue);
    return copy;
  }

  /// Format of the log.
  by::LogFormat LogFormat() const { return mFields.mLogFormat; }
  /// @returns a copy of this value with another LogFormat.
  [[nodiscard]] TelemetrySettings WithLogFormat(by::LogFormat aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogFormat = std::move(aValue);
    return copy;
  }

  friend bool operator==(const TelemetrySettings&, const TelemetrySettings&) = default;
  friend auto operator<=>(const TelemetrySettings&, const TelemetrySettings&) = default;

private:
  explicit TelemetrySettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
