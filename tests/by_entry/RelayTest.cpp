#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

#include "absl/strings/str_cat.h"

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr int kWorkers = 100;
constexpr Time kLinked = Time::FromMilliseconds(1000);
/// Orders to the same relay wait for each other for less than this.
constexpr Time kSent = Time::FromMilliseconds(10);

Endpoint
EndpointOf(int aWorker)
{
  return Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9000 + aWorker }).value();
}

WorkerRegistration
Registration(int aWorker)
{
  return WorkerRegistration::Create(
           { .mId = absl::StrCat("w", aWorker),
             .mPool = "pool",
             .mEndpoint = EndpointOf(aWorker),
             .mZone = ZoneId(aWorker % 2 == 0 ? "z0" : "z1"),
             .mCapacity = Resources::Create({ .mCpuMillis = 8000 }).value() })
    .value();
}

/// An owner with members that relay its orders.
struct RelayFixture : EntryFixture
{
  explicit RelayFixture(int aWorkers = kWorkers)
  {
    Configure();
    BecomeOwner(1);
    Link("m0", "z0");
    Link("m1", "z1");
    Advance(kLinked);
    Hear();
    WorkersChanged::Fields fields;
    fields.mComplete = true;
    for (int i = 0; i < aWorkers; ++i) {
      fields.mPresent.push_back(Registration(i));
    }
    Deliver(WorkersChanged::Create(std::move(fields)).value());
    Advance(kSent);
  }

  template<class Body>
  void Send(const std::string& aNode, Body aBody)
  {
    Deliver(
      FromMember::Create({ .mNode = aNode,
                           .mMessage = LinkMessage::Create({ .mBody = std::move(aBody) }).value(),
                           .mReceived = mNow })
        .value());
  }

  void Link(const std::string& aNode, const std::string& aZone)
  {
    Deliver(MemberChanged::Create({ .mNode = aNode, .mUp = true }).value());
    Send(aNode, LinkHello::Create({ .mNode = aNode, .mZone = ZoneId(aZone) }).value());
  }

  /// Lets all members send a heartbeat.
  void Hear()
  {
    for (const auto& [node, member] : std::map(mState.mMembers)) {
      Send(node, LinkHeartbeat::Create({ .mEpoch = 1 }).value());
    }
  }

  /// @returns the polls sent to each relay since the last call, by relay.
  std::map<std::string, std::vector<PollWorker>> TakeRelayedPolls()
  {
    std::map<std::string, std::vector<PollWorker>> polls;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* orders = std::get_if<RelayOrders>(&sent.Message().Body())) {
        for (const auto& order : orders->Orders()) {
          if (const auto* poll = std::get_if<PollWorker>(&order.Body())) {
            polls[sent.Node()].push_back(*poll);
          }
        }
      }
    }
    return polls;
  }

  /// Lets a relay return the answer to a poll.
  void Answer(const std::string& aRelay, const PollWorker& aPoll, OrderOutcome aOutcome)
  {
    auto polled = WorkerPolled::Create(
                    { .mWorker = aPoll.Worker(), .mOutcome = aOutcome, .mNumber = aPoll.Number() })
                    .value();
    Send(aRelay,
         RelayAnswers::Create(
           { .mAnswers = { WorkerAnswer::Create({ .mBody = std::move(polled) }).value() } })
           .value());
  }
};

std::size_t
CountPolls(const std::map<std::string, std::vector<PollWorker>>& aPolls)
{
  std::size_t n = 0;
  for (const auto& [relay, polls] : aPolls) {
    n += polls.size();
  }
  return n;
}

} // namespace

TEST_GROUP(Relay){};

/// The owner of a large cell spent its whole processor share on calls to workers.
TEST(Relay, OwnerOfManyWorkersCallsNoneItself)
{
  RelayFixture owner;
  CHECK(owner.Take<PollWorker>().empty());
  CHECK_EQUAL(kWorkers, CountPolls(owner.TakeRelayedPolls()));
}

TEST(Relay, OwnerOfFewWorkersCallsThemItself)
{
  RelayFixture owner(10);
  CHECK_EQUAL(10, owner.Take<PollWorker>().size());
  CHECK_EQUAL(0, CountPolls(owner.TakeRelayedPolls()));
}

TEST(Relay, WorkerIsCalledByAMemberOfItsAvailabilityZone)
{
  RelayFixture owner;
  for (const auto& [relay, polls] : owner.TakeRelayedPolls()) {
    for (const auto& poll : polls) {
      const bool isEven = (poll.Endpoint().Port() - 9000) % 2 == 0;
      CHECK_EQUAL(isEven ? "m0" : "m1", relay);
    }
  }
}

TEST(Relay, PollsOfALostRelayAreSentThroughAnother)
{
  RelayFixture owner;
  const auto lost = owner.TakeRelayedPolls()["m0"].size();
  owner.Deliver(MemberChanged::Create({ .mNode = "m0", .mUp = false }).value());
  owner.Advance(kSent);
  CHECK_EQUAL(lost, owner.TakeRelayedPolls()["m1"].size());
}

TEST(Relay, SilentRelayIsReplacedBeforeItsWorkersCountAsLost)
{
  RelayFixture owner;
  const auto polls = owner.TakeRelayedPolls();
  const auto lost = polls.at("m0").size();
  for (const auto& poll : polls.at("m1")) {
    owner.Answer("m1", poll, OrderOutcome::Accepted);
  }
  for (int i = 0; i < 3; ++i) {
    owner.Advance(Time::FromMilliseconds(500));
    owner.Send("m1", LinkHeartbeat::Create({ .mEpoch = 1 }).value());
  }
  owner.Advance(Time::FromMilliseconds(50));
  owner.Advance(kSent);
  CHECK(owner.TakeRelayedPolls()["m1"].size() >= lost);
  for (const auto& [id, worker] : owner.mState.mCell->mWorkers) {
    CHECK(worker.mHealth != WorkerHealth::LeaseExpiring);
    CHECK_EQUAL(0, worker.mPollFailures);
  }
}

TEST(Relay, AnswerOfAReplacedRelayIsNotTakenForTheLaterPoll)
{
  RelayFixture owner;
  const auto polls = owner.TakeRelayedPolls();
  owner.Deliver(MemberChanged::Create({ .mNode = "m0", .mUp = false }).value());
  owner.Link("m0", "z0");
  const auto& poll = polls.at("m0").front();
  owner.Answer("m0", poll, OrderOutcome::Accepted);
  CHECK(owner.mState.mCell->mWorkers.at(poll.Worker()).mPollInFlight);
  CHECK(owner.mState.mCell->mWorkers.at(poll.Worker()).mHealth == WorkerHealth::Unseen);
}

TEST(Relay, WorkerThatARelayCannotReachIsPolledThroughAnotherNext)
{
  RelayFixture owner;
  const auto poll = owner.TakeRelayedPolls()["m0"].front();
  owner.Answer("m0", poll, OrderOutcome::Unanswered);
  owner.Hear();
  owner.Advance(Time::FromMilliseconds(300));
  const auto next = owner.TakeRelayedPolls()["m1"];
  CHECK(std::any_of(next.begin(), next.end(), [&](const PollWorker& aPoll) {
    return aPoll.Worker() == poll.Worker();
  }));
}

TEST(Relay, NewOwnerWaitsForMembersBeforeItCallsAllWorkersItself)
{
  EntryFixture owner;
  owner.Configure();
  owner.BecomeOwner(1);
  WorkersChanged::Fields fields;
  for (int i = 0; i < kWorkers; ++i) {
    fields.mPresent.push_back(Registration(i));
  }
  owner.Deliver(WorkersChanged::Create(std::move(fields)).value());
  CHECK(owner.Take<PollWorker>().empty());
  owner.Advance(Time::FromMilliseconds(400));
  CHECK_EQUAL(kWorkers, owner.Take<PollWorker>().size());
}

TEST(Relay, MemberSendsRelayedOrdersAndReturnsTheirAnswers)
{
  EntryFixture member;
  member.Configure();
  member.SetRemoteOwner(3);
  auto poll = PollWorker::Create({ .mWorker = "w1", .mEpoch = 3, .mNumber = 77 }).value();
  auto orders =
    RelayOrders::Create({ .mOrders = { WorkerOrder::Create({ .mBody = poll }).value() } }).value();
  member.Deliver(
    FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = std::move(orders) }).value() })
      .value());
  CHECK(member.Take<PollWorker>() == std::vector{ poll });
  member.Take<SendToOwner>();
  member.Deliver(WorkerPolled::Create({ .mWorker = "w1", .mNumber = 77 }).value());
  member.Advance(Time::FromMilliseconds(100));
  const auto sent = member.Take<SendToOwner>();
  const auto returned = std::find_if(sent.begin(), sent.end(), [](const SendToOwner& aEffect) {
    return std::holds_alternative<RelayAnswers>(aEffect.Message().Body());
  });
  CHECK(returned != sent.end());
  CHECK_EQUAL(1, std::get<RelayAnswers>(returned->Message().Body()).Answers().size());
}

TEST(Relay, AnswersOfWorkersReturnTogether)
{
  EntryFixture member;
  member.Configure();
  member.SetRemoteOwner(3);
  member.Take<SendToOwner>();
  for (std::uint64_t n = 1; n <= 3; ++n) {
    member.Deliver(WorkerPolled::Create({ .mWorker = "w1", .mNumber = n }).value());
  }
  CHECK(member.Take<SendToOwner>().empty());
  member.Advance(Time::FromMilliseconds(100));
  std::size_t messages = 0;
  for (const auto& effect : member.Take<SendToOwner>()) {
    if (const auto* answers = std::get_if<RelayAnswers>(&effect.Message().Body())) {
      ++messages;
      CHECK_EQUAL(3, answers->Answers().size());
    }
  }
  CHECK_EQUAL(1, messages);
}

/// An owner that was behind with reading took late answers for lost ones, sent the orders again
/// and fell behind further.
TEST(Relay, AnswersThatTheOwnerReadsLateAreNotTakenForLost)
{
  RelayFixture owner;
  const auto polls = owner.TakeRelayedPolls();
  owner.mNow = owner.mNow + Time::FromMilliseconds(2500);
  owner.Deliver(ClockTick::Create({ .mNumber = 1 }).value());
  owner.Advance(kSent);
  CHECK_EQUAL(0, CountPolls(owner.TakeRelayedPolls()));
}

TEST(Relay, RelayThatLeavesAnOrderUnansweredIsReplacedBeforeTheLeaseExpires)
{
  RelayFixture owner;
  const auto polls = owner.TakeRelayedPolls();
  for (const auto& poll : polls.at("m1")) {
    owner.Answer("m1", poll, OrderOutcome::Accepted);
  }
  for (int i = 0; i < 4; ++i) {
    owner.Advance(Time::FromMilliseconds(500));
    owner.Hear();
  }
  owner.Advance(Time::FromMilliseconds(150));
  CHECK(owner.TakeRelayedPolls()["m1"].size() >= polls.at("m0").size());
}

/// An owner that had stalled took all relays for lost in its first step and called all workers
/// itself.
TEST(Relay, OwnerThatStalledReadsAnswersBeforeItSuspendsRelays)
{
  RelayFixture owner;
  owner.TakeRelayedPolls();
  owner.mNow = owner.mNow + Time::FromMilliseconds(3000);
  owner.Deliver(ClockTick::Create({ .mNumber = 1 }).value());
  owner.Advance(kSent);
  CHECK(owner.Take<PollWorker>().empty());
  CHECK(owner.mState.mRelays.mSuspended.empty());
}

/// Two relays of a zone that could not reach a worker took turns until it counted as lost.
TEST(Relay, WorkerThatTwoRelaysCannotReachIsPolledThroughAThird)
{
  RelayFixture owner;
  owner.Link("m2", "z0");
  auto poll = owner.TakeRelayedPolls()["m0"].front();
  std::set<std::string> tried{ "m0" };
  auto relay = std::string("m0");
  while (tried.size() < 3) {
    owner.Answer(relay, poll, OrderOutcome::Unanswered);
    owner.Hear();
    owner.Advance(Time::FromMilliseconds(300));
    relay.clear();
    for (const auto& [node, sent] : owner.TakeRelayedPolls()) {
      for (const auto& next : sent) {
        if (next.Worker() == poll.Worker()) {
          relay = node;
          poll = next;
        }
      }
    }
    CHECK(!relay.empty() && tried.insert(relay).second);
    if (relay.empty()) {
      return;
    }
  }
}

TEST(Relay, OrdersLeaveAlsoWhenTheCellHasBecomeSmall)
{
  RelayFixture owner;
  owner.TakeRelayedPolls();
  owner.mState.mRelays.mOutbox["m0"].push_back(
    WorkerOrder::Create({ .mBody = PollWorker::Create({ .mWorker = "w1" }).value() }).value());
  owner.mState.mRelays.mSendAt = owner.mNow;
  owner.mState.mSettings =
    owner.mState.mSettings.WithCell(owner.mState.mSettings.Cell().WithDirectWorkerLimit(kWorkers));
  owner.Advance(kSent);
  CHECK_EQUAL(1, CountPolls(owner.TakeRelayedPolls()));
}
