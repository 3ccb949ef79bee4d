#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How far a call proceeded.
enum class CallOutcome : std::uint8_t
{
  Completed = 0,
  NotSent = 1,
  Lost = 2,
  OtherPeer = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(CallOutcome aValue)
{
  switch (aValue) {
    case CallOutcome::Completed:
      return "completed";
    case CallOutcome::NotSent:
      return "not_sent";
    case CallOutcome::Lost:
      return "lost";
    case CallOutcome::OtherPeer:
      return "other_peer";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<CallOutcome>
ParseCallOutcome(std::string_view aText)
{
  if (aText == "completed") {
    return CallOutcome::Completed;
  }
  if (aText == "not_sent") {
    return CallOutcome::NotSent;
  }
  if (aText == "lost") {
    return CallOutcome::Lost;
  }
  if (aText == "other_peer") {
    return CallOutcome::OtherPeer;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of completed, not_sent, lost, other_peer"));
}

} // namespace by
