#pragma once

#include "by_core/Time.h"
#include "by_schema/EntryEvent.h"

namespace by::detail {

/// An event that waits for the control thread.
struct QueuedEvent
{
  EntryEvent mEvent;
  /// When it was queued.
  Time mQueuedAt{};
};

} // namespace by::detail
