#pragma once

#include "by_core/Identifier.h"

namespace by {

/// An ended task whose end is recorded in the log.
struct EndedTask
{
  /// The VM that it ran on.
  VmId mVm;
  /// The task's id on the backend server.
  TaskId mTask;

  friend bool operator==(const EndedTask&, const EndedTask&) = default;
  friend auto operator<=>(const EndedTask&, const EndedTask&) = default;
};

} // namespace by
