// A node that is behind handles several events in one step. The step must lead to what the events
// lead to one by one: no caller is answered twice or by a cell that was taken over meanwhile, and
// what must last is stored before it is told.

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "absl/strings/str_cat.h"

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

std::string
PathOf(std::uint64_t aJob)
{
  return absl::StrCat("/q/", absl::Hex(aJob, absl::kZeroPad16));
}

EntryEvent
Submit(std::uint64_t aCall)
{
  auto step = JobStep::Create({ .mCount = 1 }).value();
  return EventOf(
    JobCall::Create(
      { .mCall = aCall,
        .mKind = JobCallKind::Submit,
        .mHost = "h",
        .mPath = PathOf(aCall),
        .mDefinition =
          JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value() })
      .value());
}

EntryEvent
Count(std::uint64_t aCall)
{
  return EventOf(
    JobCall::Create({ .mCall = aCall, .mKind = JobCallKind::Show, .mHost = "h", .mPath = "/q/" })
      .value());
}

EntryEvent
Appended(const AppendToCell& aAppend, StoreOutcome aOutcome)
{
  return EventOf(
    CellAppended::Create(
      { .mEpoch = aAppend.Epoch(), .mSequence = aAppend.Sequence(), .mOutcome = aOutcome })
      .value());
}

EntryEvent
Tick()
{
  return EventOf(ClockTick::Create({ .mNumber = 1 }).value());
}

void
DeliverBatch(EntryFixture& aNode, const std::vector<EntryEvent>& aEvents)
{
  const auto out = StepEntry(aNode.mState, aEvents, aNode.mNow);
  aNode.mOut.insert(aNode.mOut.end(), out.begin(), out.end());
}

/// Delivers events one by one.
void
DeliverSingly(EntryFixture& aNode, const std::vector<EntryEvent>& aEvents)
{
  for (const auto& event : aEvents) {
    const auto out = StepEntry(aNode.mState, event, aNode.mNow);
    aNode.mOut.insert(aNode.mOut.end(), out.begin(), out.end());
  }
}

/// @returns the keys of the records of all appends.
std::vector<std::string>
KeysOf(const std::vector<AppendToCell>& aAppends)
{
  std::vector<std::string> keys;
  for (const auto& append : aAppends) {
    for (const auto& record : append.Records()) {
      keys.push_back(record.Key());
    }
  }
  return keys;
}

/// Acknowledges all appends until there are none.
/// @returns the keys of their records.
std::vector<std::string>
StoreAll(EntryFixture& aNode)
{
  std::vector<std::string> keys;
  for (;;) {
    const auto appends = aNode.Take<AppendToCell>();
    if (appends.empty()) {
      return keys;
    }
    for (const auto& key : KeysOf(appends)) {
      keys.push_back(key);
    }
    for (const auto& append : appends) {
      DeliverSingly(aNode, { Appended(append, StoreOutcome::Done) });
    }
    aNode.Advance(Time::FromMilliseconds(100));
  }
}

EntryFixture
Owner()
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(1);
  node.mOut.clear();
  return node;
}

} // namespace

TEST_GROUP(Batch){};

TEST(Batch, OfOneEventIsASingleStep)
{
  auto batched = Owner();
  auto single = Owner();
  for (const auto& event : { Submit(1), Tick(), Count(2), Submit(1) }) {
    DeliverBatch(batched, { event });
    DeliverSingly(single, { event });
    CHECK(single.mOut == batched.mOut);
  }
}

TEST(Batch, OfAMemberForwardsWhatSingleStepsForward)
{
  EntryFixture batched;
  EntryFixture single;
  for (auto* node : { &batched, &single }) {
    node->Configure();
    node->Join(false);
    node->SetRemoteOwner(3);
    node->mOut.clear();
  }
  const std::vector events{ Submit(1), Count(2), Tick(), Submit(3) };
  DeliverBatch(batched, events);
  DeliverSingly(single, events);
  CHECK(single.mOut == batched.mOut);
}

TEST(Batch, OfAnOwnerAcceptsWhatSingleStepsAccept)
{
  auto batched = Owner();
  auto single = Owner();
  const std::vector events{ Submit(1), Submit(2), Submit(1), Tick(), Submit(3) };
  DeliverBatch(batched, events);
  DeliverSingly(single, events);
  CHECK(batched.TakeOutcomes().empty());
  CHECK(StoreAll(single) == StoreAll(batched));
  const std::vector expected(4, JobCallOutcome::Accepted);
  CHECK(expected == single.TakeOutcomes());
  CHECK(expected == batched.TakeOutcomes());
}

TEST(Batch, StoresTheRecordsOfItsEventsTogether)
{
  auto node = Owner();
  DeliverBatch(node, { Submit(1), Submit(2), Submit(3) });
  const auto appends = node.Take<AppendToCell>();
  CHECK_EQUAL(1U, appends.size());
  CHECK_EQUAL(3U, KeysOf(appends).size());
}

TEST(Batch, CallIsAnsweredOnceIfItExpiresInTheSameBatch)
{
  auto node = Owner();
  DeliverBatch(node, { Submit(1) });
  const auto appends = node.Take<AppendToCell>();
  CHECK_EQUAL(1U, appends.size());
  node.mNow = node.mNow + node.mState.mSettings.AnswerWait() + Time::FromMilliseconds(1);
  DeliverBatch(node, { Appended(appends.front(), StoreOutcome::Done), Tick() });
  CHECK(std::vector{ JobCallOutcome::Accepted } == node.TakeOutcomes());
}

TEST(Batch, CellThatWasTakenOverHandlesNoFurtherEvents)
{
  auto node = Owner();
  DeliverBatch(node, { Submit(1) });
  const auto appends = node.Take<AppendToCell>();
  CHECK_EQUAL(1U, appends.size());
  DeliverBatch(node, { Appended(appends.front(), StoreOutcome::Fenced), Count(2), Submit(3) });
  CHECK(node.TakeOutcomes().empty());
  CHECK(!node.mState.mCell);
  CHECK_EQUAL(3U, node.mState.mCalls.size());
}
