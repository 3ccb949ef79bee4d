#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// What became of the order to begin a machine's upkeep.
enum class UpkeepOutcome : std::uint8_t
{
  Begun = 0,
  Busy = 1,
  NoMachine = 2,
  NotInWave = 3,
  Fenced = 4,
  Refused = 5,
  Unanswered = 6,
};

/// Names a value as it stands in settings and messages.
/// @returns the name in lower case, or "unknown".
constexpr std::string_view
ToString(UpkeepOutcome aValue)
{
  switch (aValue) {
    case UpkeepOutcome::Begun:
      return "begun";
    case UpkeepOutcome::Busy:
      return "busy";
    case UpkeepOutcome::NoMachine:
      return "no_machine";
    case UpkeepOutcome::NotInWave:
      return "not_in_wave";
    case UpkeepOutcome::Fenced:
      return "fenced";
    case UpkeepOutcome::Refused:
      return "refused";
    case UpkeepOutcome::Unanswered:
      return "unanswered";
  }
  return "unknown";
}

/// Reads a value from its name.
/// @returns the value, or InvalidArgument for a name that is not one.
inline absl::StatusOr<UpkeepOutcome>
ParseUpkeepOutcome(std::string_view aText)
{
  if (aText == "begun") {
    return UpkeepOutcome::Begun;
  }
  if (aText == "busy") {
    return UpkeepOutcome::Busy;
  }
  if (aText == "no_machine") {
    return UpkeepOutcome::NoMachine;
  }
  if (aText == "not_in_wave") {
    return UpkeepOutcome::NotInWave;
  }
  if (aText == "fenced") {
    return UpkeepOutcome::Fenced;
  }
  if (aText == "refused") {
    return UpkeepOutcome::Refused;
  }
  if (aText == "unanswered") {
    return UpkeepOutcome::Unanswered;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not one of begun, busy, no_machine, not_in_wave, fenced, refused, unanswered"));
}

} // namespace by
