#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Action on a running task.
enum class TaskAction : std::uint8_t
{
  Stop = 0,
  Checkpoint = 1,
  Throttle = 2,
  Resume = 3,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(TaskAction aValue)
{
  switch (aValue) {
    case TaskAction::Stop:
      return "stop";
    case TaskAction::Checkpoint:
      return "checkpoint";
    case TaskAction::Throttle:
      return "throttle";
    case TaskAction::Resume:
      return "resume";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<TaskAction>
ParseTaskAction(std::string_view aText)
{
  if (aText == "stop") {
    return TaskAction::Stop;
  }
  if (aText == "checkpoint") {
    return TaskAction::Checkpoint;
  }
  if (aText == "throttle") {
    return TaskAction::Throttle;
  }
  if (aText == "resume") {
    return TaskAction::Resume;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'", std::string(aText), "' is not one of stop, checkpoint, throttle, resume"));
}

} // namespace by
