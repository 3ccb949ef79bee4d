#pragma once

#include "by_core/Identifier.h"
#include "by_schema/TaskStart.h"

namespace by {

/// A command to start an intent's task, which is sent as a detached task.
struct IntentTaskStart
{
  /// The VM on which capacity is reserved for the task.
  VmId mVm;
  /// The start command. The sender may move not_after to an earlier time but never to a later one.
  TaskStart mStart;

  friend bool operator==(const IntentTaskStart&, const IntentTaskStart&) = default;
};

} // namespace by
