#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Exit code of the tool; scripts rely on the numbers.
enum class ExitCode : std::uint8_t
{
  Ok = 0,
  Refused = 1,
  Invalid = 2,
  Unreachable = 3,
  Unknown = 4,
  Conflict = 5,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(ExitCode aValue)
{
  switch (aValue) {
    case ExitCode::Ok:
      return "ok";
    case ExitCode::Refused:
      return "refused";
    case ExitCode::Invalid:
      return "invalid";
    case ExitCode::Unreachable:
      return "unreachable";
    case ExitCode::Unknown:
      return "unknown";
    case ExitCode::Conflict:
      return "conflict";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<ExitCode>
ParseExitCode(std::string_view aText)
{
  if (aText == "ok") {
    return ExitCode::Ok;
  }
  if (aText == "refused") {
    return ExitCode::Refused;
  }
  if (aText == "invalid") {
    return ExitCode::Invalid;
  }
  if (aText == "unreachable") {
    return ExitCode::Unreachable;
  }
  if (aText == "unknown") {
    return ExitCode::Unknown;
  }
  if (aText == "conflict") {
    return ExitCode::Conflict;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of ok, refused, invalid, unreachable, unknown, conflict"));
}

} // namespace by
