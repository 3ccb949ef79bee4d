#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Phase of one task.
enum class JobTaskPhase : std::uint8_t
{
  Waiting = 0,
  Assigned = 1,
  Done = 2,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
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

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
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
