#include "by_entryd/detail/EventQueue.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace by::detail {

namespace {

/// One in this many events of a batch may be a request also while urgent events wait.
constexpr std::size_t kRequestDivisor = 8;

/// @returns a member's request, or nullptr for any other event.
const FromMember*
MemberRequest(const EntryEvent& aEvent)
{
  const auto* message = std::get_if<FromMember>(&aEvent.Body());
  const bool isRequest =
    message != nullptr && std::holds_alternative<CellRequest>(message->Message().Body());
  return isRequest ? message : nullptr;
}

bool
IsRequest(const EntryEvent& aEvent)
{
  return std::holds_alternative<JobCall>(aEvent.Body()) || MemberRequest(aEvent) != nullptr;
}

void
TakeFrom(std::deque<QueuedEvent>& aQueue, std::size_t aLimit, Time aNow, EventBatch& aBatch)
{
  if (!aQueue.empty()) {
    aBatch.mLongestWait = std::max(aBatch.mLongestWait, aNow - aQueue.front().mQueuedAt);
  }
  while (!aQueue.empty() && aBatch.mEvents.size() < aLimit) {
    aBatch.mEvents.push_back(std::move(aQueue.front().mEvent));
    aQueue.pop_front();
  }
  aBatch.mLeft += aQueue.size();
}

} // namespace

bool
EventQueue::Push(std::span<EntryEvent> aEvents, Time aNow)
{
  if (aEvents.empty()) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  for (auto& event : aEvents) {
    Add(std::move(event), aNow);
  }
  return !std::exchange(mIsConsumerAwake, true);
}

EventBatch
EventQueue::Take(std::size_t aLimit, Time aNow)
{
  const std::lock_guard lock(mMutex);
  EventBatch batch;
  batch.mDropped = std::exchange(mDropped, {});
  batch.mEvents.reserve(std::min(aLimit, mUrgent.size() + mRequests.size()));
  const auto reserved = std::min(mRequests.size(), aLimit / kRequestDivisor);
  TakeFrom(mUrgent, aLimit - reserved, aNow, batch);
  TakeFrom(mRequests, aLimit, aNow, batch);
  mIsConsumerAwake = batch.mLeft > 0;
  return batch;
}

void
EventQueue::Add(EntryEvent aEvent, Time aNow)
{
  if (const auto* member = std::get_if<MemberChanged>(&aEvent.Body());
      member != nullptr && !member->Up()) {
    std::erase_if(mRequests, [&](QueuedEvent& aQueued) {
      const auto* request = MemberRequest(aQueued.mEvent);
      const bool isLost = request != nullptr && request->Node() == member->Node() &&
                          request->Link() == member->Link();
      if (isLost) {
        mDropped.push_back(std::move(aQueued.mEvent));
      }
      return isLost;
    });
  }
  auto& queue = IsRequest(aEvent) ? mRequests : mUrgent;
  queue.push_back({ .mEvent = std::move(aEvent), .mQueuedAt = aNow });
}

} // namespace by::detail
