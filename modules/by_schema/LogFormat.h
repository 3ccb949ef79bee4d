#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Format of the log.
enum class LogFormat : std::uint8_t
{
  Text = 0,
  Json = 1,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(LogFormat aValue)
{
  switch (aValue) {
    case LogFormat::Text:
      return "text";
    case LogFormat::Json:
      return "json";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<LogFormat>
ParseLogFormat(std::string_view aText)
{
  if (aText == "text") {
    return LogFormat::Text;
  }
  if (aText == "json") {
    return LogFormat::Json;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of text, json"));
}

} // namespace by
