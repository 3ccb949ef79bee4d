#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Where one task stands.
enum class JobTaskPhase : std::uint8_t
{
  Waiting = 0,
  Assigned = 1,
  Done = 2,
};

/// Names a value as it stands in settings and messages.
/// @returns the name in lower case, or "unknown".
constexpr std::string_view
ToString(JobTaskPhase aValue)
{
  switch (aValue) {
    case JobTaskPhase::Waiting:
      return "waiting";
    case JobTaskPhase::Assigned:
      return "assigned";
    case JobTaskPhase::Done:
      return "done";
  }
  return "unknown";
}

/// Reads a value from its name.
/// @returns the value, or InvalidArgument for a name that is not one.
inline absl::StatusOr<JobTaskPhase>
ParseJobTaskPhase(std::string_view aText)
{
  if (aText == "waiting") {
    return JobTaskPhase::Waiting;
  }
  if (aText == "assigned") {
    return JobTaskPhase::Assigned;
  }
  if (aText == "done") {
    return JobTaskPhase::Done;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of waiting, assigned, done"));
}

} // namespace by
