#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// What became of the order to begin a machine's upkeep.
enum class MaintenanceOutcome : std::uint8_t
{
  Started = 0,
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
ToString(MaintenanceOutcome aValue)
{
  switch (aValue) {
    case MaintenanceOutcome::Started:
      return "begun";
    case MaintenanceOutcome::Busy:
      return "busy";
    case MaintenanceOutcome::NoMachine:
      return "no_machine";
    case MaintenanceOutcome::NotInWave:
      return "not_in_wave";
    case MaintenanceOutcome::Fenced:
      return "fenced";
    case MaintenanceOutcome::Refused:
      return "refused";
    case MaintenanceOutcome::Unanswered:
      return "unanswered";
  }
  return "unknown";
}

/// Reads a value from its name.
/// @returns the value, or InvalidArgument for a name that is not one.
inline absl::StatusOr<MaintenanceOutcome>
ParseMaintenanceOutcome(std::string_view aText)
{
  if (aText == "begun") {
    return MaintenanceOutcome::Started;
  }
  if (aText == "busy") {
    return MaintenanceOutcome::Busy;
  }
  if (aText == "no_machine") {
    return MaintenanceOutcome::NoMachine;
  }
  if (aText == "not_in_wave") {
    return MaintenanceOutcome::NotInWave;
  }
  if (aText == "fenced") {
    return MaintenanceOutcome::Fenced;
  }
  if (aText == "refused") {
    return MaintenanceOutcome::Refused;
  }
  if (aText == "unanswered") {
    return MaintenanceOutcome::Unanswered;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not one of begun, busy, no_machine, not_in_wave, fenced, refused, unanswered"));
}

} // namespace by
