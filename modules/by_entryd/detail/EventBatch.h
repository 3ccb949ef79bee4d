#pragma once

#include <cstddef>
#include <vector>

#include "by_core/Time.h"
#include "by_schema/EntryEvent.h"

namespace by::detail {

/// Events that the control thread handles in one step.
struct EventBatch
{
  std::vector<EntryEvent> mEvents;
  /// The longest time that an event has waited so far, in this batch or still in the queue.
  Time mLongestWait{};
  /// Requests that were dropped since the previous batch.
  std::vector<EntryEvent> mDropped;
  /// Events that are left in the queue.
  std::size_t mLeft{ 0 };
};

} // namespace by::detail
