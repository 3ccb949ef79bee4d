#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// How a run ended.
enum class RunEnd : std::uint8_t
{
  Done = 0,
  Failed = 1,
  Stopped = 2,
  LeaseExpired = 3,
  GangBroken = 4,
  GangIncomplete = 5,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(RunEnd aValue)
{
  switch (aValue) {
    case RunEnd::Done:
      return "done";
    case RunEnd::Failed:
      return "failed";
    case RunEnd::Stopped:
      return "stopped";
    case RunEnd::LeaseExpired:
      return "lapsed";
    case RunEnd::GangBroken:
      return "broken";
    case RunEnd::GangIncomplete:
      return "alone";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<RunEnd>
ParseRunEnd(std::string_view aText)
{
  if (aText == "done") {
    return RunEnd::Done;
  }
  if (aText == "failed") {
    return RunEnd::Failed;
  }
  if (aText == "stopped") {
    return RunEnd::Stopped;
  }
  if (aText == "lapsed") {
    return RunEnd::LeaseExpired;
  }
  if (aText == "broken") {
    return RunEnd::GangBroken;
  }
  if (aText == "alone") {
    return RunEnd::GangIncomplete;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'", std::string(aText), "' is not one of done, failed, stopped, lapsed, broken, alone"));
}

} // namespace by
