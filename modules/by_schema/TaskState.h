#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// State of a task on a backend server.
enum class TaskState : std::uint8_t
{
  Running = 0,
  Succeeded = 1,
  Failed = 2,
  Stopped = 3,
  Checkpointed = 4,
  NotStarted = 5,
  Lost = 6,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(TaskState aValue)
{
  switch (aValue) {
    case TaskState::Running:
      return "running";
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::Stopped:
      return "stopped";
    case TaskState::Checkpointed:
      return "checkpointed";
    case TaskState::NotStarted:
      return "not_started";
    case TaskState::Lost:
      return "lost";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<TaskState>
ParseTaskState(std::string_view aText)
{
  if (aText == "running") {
    return TaskState::Running;
  }
  if (aText == "succeeded") {
    return TaskState::Succeeded;
  }
  if (aText == "failed") {
    return TaskState::Failed;
  }
  if (aText == "stopped") {
    return TaskState::Stopped;
  }
  if (aText == "checkpointed") {
    return TaskState::Checkpointed;
  }
  if (aText == "not_started") {
    return TaskState::NotStarted;
  }
  if (aText == "lost") {
    return TaskState::Lost;
  }
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not one of running, succeeded, failed, stopped, checkpointed, not_started, lost"));
}

} // namespace by
