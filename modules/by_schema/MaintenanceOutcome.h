#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Outcome of an order to start the maintenance of a machine.
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

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
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

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
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
