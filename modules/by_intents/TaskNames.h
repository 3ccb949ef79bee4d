#pragma once

#include <optional>

#include "by_core/Identifier.h"
#include "by_intents/TaskKey.h"

namespace by {

/// @returns the id of an intent's task on backend servers: "INTENT/INDEX".
TaskId
TaskIdOf(const TaskKey& aKey);

/// Parses the id of an intent's task.
/// @returns the task, or nothing if the id belongs to a request.
std::optional<TaskKey>
TaskKeyOf(const TaskId& aId);

} // namespace by
