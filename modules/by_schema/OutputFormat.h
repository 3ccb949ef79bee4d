#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Output format of the tool.
enum class OutputFormat : std::uint8_t
{
  Table = 0,
  Json = 1,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(OutputFormat aValue)
{
  switch (aValue) {
    case OutputFormat::Table:
      return "table";
    case OutputFormat::Json:
      return "json";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<OutputFormat>
ParseOutputFormat(std::string_view aText)
{
  if (aText == "table") {
    return OutputFormat::Table;
  }
  if (aText == "json") {
    return OutputFormat::Json;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of table, json"));
}

} // namespace by
