#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// State of an intent.
enum class IntentState : std::uint8_t
{
  Starting = 0,
  Running = 1,
  Succeeded = 2,
  Failed = 3,
  Cancelling = 4,
  Cancelled = 5,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(IntentState aValue)
{
  switch (aValue) {
    case IntentState::Starting:
      return "starting";
    case IntentState::Running:
      return "running";
    case IntentState::Succeeded:
      return "succeeded";
    case IntentState::Failed:
      return "failed";
    case IntentState::Cancelling:
      return "cancelling";
    case IntentState::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<IntentState>
ParseIntentState(std::string_view aText)
{
  if (aText == "starting") {
    return IntentState::Starting;
  }
  if (aText == "running") {
    return IntentState::Running;
  }
  if (aText == "succeeded") {
    return IntentState::Succeeded;
  }
  if (aText == "failed") {
    return IntentState::Failed;
  }
  if (aText == "cancelling") {
    return IntentState::Cancelling;
  }
  if (aText == "cancelled") {
    return IntentState::Cancelled;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of starting, running, succeeded, failed, cancelling, cancelled"));
}

} // namespace by
