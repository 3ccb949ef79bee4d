// The control thread of a busy owner is behind. What keeps the cell going must not wait for
// callers' requests, the messages of a member must stay in order with the changes of its link, and
// the consumer must be woken exactly once while there is something to do.

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "by_entry/EventOf.h"
#include "by_entryd/detail/EventQueue.h"

using namespace by;

namespace {

constexpr std::size_t kAll = 1000;

Time
At(std::int64_t aMilliseconds)
{
  return Time::FromMilliseconds(aMilliseconds);
}

EntryEvent
Call(std::uint64_t aNumber)
{
  return EventOf(JobCall::Create({ .mCall = aNumber }).value());
}

EntryEvent
Tick(std::uint64_t aNumber)
{
  return EventOf(ClockTick::Create({ .mNumber = aNumber }).value());
}

EntryEvent
Member(const std::string& aNode, bool aUp)
{
  return EventOf(MemberChanged::Create({ .mNode = aNode, .mUp = aUp }).value());
}

template<class Body>
EntryEvent
From(const std::string& aNode, Body aBody)
{
  auto message = LinkMessage::Create({ .mBody = std::move(aBody) }).value();
  return EventOf(FromMember::Create({ .mNode = aNode, .mMessage = std::move(message) }).value());
}

EntryEvent
Request(const std::string& aNode, std::uint64_t aCall)
{
  return From(aNode, CellRequest::Create({ .mCall = aCall }).value());
}

EntryEvent
Hello(const std::string& aNode)
{
  return From(aNode, LinkHello::Create({ .mNode = aNode }).value());
}

bool
Push(detail::EventQueue& aQueue, std::vector<EntryEvent> aEvents, Time aNow = {})
{
  return aQueue.Push(aEvents, aNow);
}

} // namespace

TEST_GROUP(EventQueue)
{
  detail::EventQueue mQueue;
};

TEST(EventQueue, WhatKeepsTheCellGoingGoesBeforeRequests)
{
  Push(mQueue, { Call(1), Request("a", 1), Tick(1), Call(2), Hello("a"), Tick(2) });
  const std::vector expected{ Tick(1), Hello("a"), Tick(2), Call(1), Request("a", 1), Call(2) };
  CHECK(expected == mQueue.Take(kAll, {}).mEvents);
}

TEST(EventQueue, KeepsTheOrderOfAMembersMessagesAndLinkChanges)
{
  const std::vector<EntryEvent> events{ Member("a", true), Hello("a"),        Member("a", false),
                                        Member("a", true), Hello("a"),        Member("b", true),
                                        Hello("b"),        Member("b", false) };
  for (const auto& event : events) {
    Push(mQueue, { event });
  }
  std::vector<EntryEvent> taken;
  for (;;) {
    const auto batch = mQueue.Take(3, {});
    taken.insert(taken.end(), batch.mEvents.begin(), batch.mEvents.end());
    if (batch.mLeft == 0) {
      break;
    }
  }
  CHECK(events == taken);
}

TEST(EventQueue, DropsTheRequestsOfAMemberWhoseLinkIsLost)
{
  Push(mQueue, { Request("a", 1), Request("b", 1), Call(1), Request("a", 2) });
  Push(mQueue, { Member("a", false), Member("a", true), Request("a", 3) });
  const std::vector expected{
    Member("a", false), Member("a", true), Request("b", 1), Call(1), Request("a", 3)
  };
  const auto batch = mQueue.Take(kAll, {});
  CHECK(expected == batch.mEvents);
  CHECK((std::vector{ Request("a", 1), Request("a", 2) }) == batch.mDropped);
  CHECK(mQueue.Take(kAll, {}).mDropped.empty());
}

TEST(EventQueue, ConsumerIsWokenOnceUntilTheQueueIsEmpty)
{
  CHECK_FALSE(Push(mQueue, {}));
  CHECK_TRUE(Push(mQueue, { Tick(1), Tick(2) }));
  CHECK_FALSE(Push(mQueue, { Call(1) }));
  CHECK_EQUAL(2U, mQueue.Take(1, {}).mLeft);
  CHECK_FALSE(Push(mQueue, { Tick(3) }));
  CHECK_EQUAL(0U, mQueue.Take(kAll, {}).mLeft);
  CHECK_TRUE(Push(mQueue, { Tick(4) }));
}

TEST(EventQueue, TakesNoMoreThanTheLimit)
{
  Push(mQueue, { Call(1), Tick(1), Tick(2), Call(2) });
  CHECK((std::vector{ Tick(1), Tick(2), Call(1) }) == mQueue.Take(3, {}).mEvents);
  CHECK((std::vector{ Call(2) }) == mQueue.Take(3, {}).mEvents);
  CHECK(mQueue.Take(3, {}).mEvents.empty());
}

TEST(EventQueue, LongestWaitCoversRequestsThatAreNotTakenYet)
{
  Push(mQueue, { Call(1) }, At(1000));
  Push(mQueue, { Tick(1) }, At(1400));
  auto batch = mQueue.Take(1, At(1500));
  CHECK((std::vector{ Tick(1) }) == batch.mEvents);
  CHECK(At(500) == batch.mLongestWait);
  batch = mQueue.Take(1, At(1600));
  CHECK(At(600) == batch.mLongestWait);
  CHECK(At(0) == mQueue.Take(1, At(1700)).mLongestWait);
}

// Polls of many workers kept the urgent class full, and callers' requests waited without end.
TEST(EventQueue, RequestsAreServedWhileUrgentEventsNeverEnd)
{
  detail::EventQueue queue;
  std::vector<EntryEvent> events;
  for (std::uint64_t n = 0; n < 200; ++n) {
    events.push_back(Tick(n));
  }
  events.push_back(Call(1));
  queue.Push(events, At(0));
  const auto batch = queue.Take(64, At(1));
  CHECK_EQUAL(64, batch.mEvents.size());
  CHECK(std::holds_alternative<JobCall>(batch.mEvents.back().Body()));
}
