#pragma once

#include "by_core/Identifier.h"
#include "by_schema/TaskCommand.h"

namespace by {

/// A command to stop an intent's task.
struct IntentTaskStop
{
  /// The VM that runs the task.
  VmId mVm;
  /// The stop command to send.
  TaskCommand mCommand;

  friend bool operator==(const IntentTaskStop&, const IntentTaskStop&) = default;
};

} // namespace by
