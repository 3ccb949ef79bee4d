#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <span>
#include <vector>

#include "by_core/Time.h"
#include "by_entryd/detail/EventBatch.h"
#include "by_entryd/detail/QueuedEvent.h"
#include "by_schema/EntryEvent.h"

namespace by::detail {

/// Events that wait for the control thread, in two classes. What keeps the cell going goes before
/// the requests of callers; within a class events keep their order. May be used from any thread.
///
/// When a member's link is lost, its waiting requests are dropped: the member sends them again over
/// its next link, and answers to the earlier ones would have no link to leave on.
class EventQueue
{
public:
  /// Adds events, which are moved from.
  /// @returns whether the consumer has to be woken: it is not while a wake-up is on its way or
  /// events of the last batch are left.
  bool Push(std::span<EntryEvent> aEvents, Time aNow);
  /// Takes the next events.
  /// @param aLimit events at most. Where some are left, the consumer comes again without being
  /// woken.
  EventBatch Take(std::size_t aLimit, Time aNow);

private:
  void Add(EntryEvent aEvent, Time aNow);

  std::mutex mMutex;
  std::deque<QueuedEvent> mUrgent;
  std::deque<QueuedEvent> mRequests;
  std::vector<EntryEvent> mDropped;
  bool mIsConsumerAwake{ false };
};

} // namespace by::detail
