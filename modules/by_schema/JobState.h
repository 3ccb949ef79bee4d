#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// State of a job as its caller sees it.
enum class JobState : std::uint8_t
{
  Queued = 0,
  Running = 1,
  Completed = 2,
  Failed = 3,
  Cancelled = 4,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(JobState aValue)
{
  switch (aValue) {
    case JobState::Queued:
      return "queued";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<JobState>
ParseJobState(std::string_view aText)
{
  if (aText == "queued") {
    return JobState::Queued;
  }
  if (aText == "running") {
    return JobState::Running;
  }
  if (aText == "completed") {
    return JobState::Completed;
  }
  if (aText == "failed") {
    return JobState::Failed;
  }
  if (aText == "cancelled") {
    return JobState::Cancelled;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'", std::string(aText), "' is not one of queued, running, completed, failed, cancelled"));
}

} // namespace by
