#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Outcome of a request.
enum class Outcome : std::uint8_t
{
  Answered = 0,
  NotRun = 1,
  Unknown = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(Outcome aValue)
{
  switch (aValue) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<Outcome>
ParseOutcome(std::string_view aText)
{
  if (aText == "answered") {
    return Outcome::Answered;
  }
  if (aText == "not_run") {
    return Outcome::NotRun;
  }
  if (aText == "unknown") {
    return Outcome::Unknown;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of answered, not_run, unknown"));
}

} // namespace by
