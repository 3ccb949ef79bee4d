#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kJobPath = "/q/0123456789abcdef";
constexpr Time kTimeout = Time::FromMilliseconds(2000);

CellRequest
RequestOf(const EntryFixture& aNode, JobCallKind aKind, const std::string& aJob = kJob)
{
  CellRequest::Fields fields{ .mCall = 7,
                              .mKind = aKind,
                              .mQueue = aNode.mState.mConfig->Queues().front(),
                              .mJob = aJob,
                              .mTimeout = kTimeout };
  if (aKind == JobCallKind::Submit) {
    auto step = JobStep::Create({ .mCount = 1 }).value();
    fields.mDefinition =
      JobDefinition::Create({ .mPayload = "p", .mSteps = { std::move(step) } }).value();
  }
  return CellRequest::Create(std::move(fields)).value();
}

/// An owner with the linked member n2.
struct Owner : EntryFixture
{
  Owner()
  {
    Configure();
    BecomeOwner(3);
    Advance(Time::FromMilliseconds(1000));
    Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  }

  /// Delivers a tick before which an event has waited.
  void Tick(Time aQueueDelay)
  {
    Deliver(ClockTick::Create({ .mNumber = 1, .mQueueDelay = aQueueDelay }).value());
  }

  /// @returns the outcomes in replies to members since the last call.
  std::vector<JobCallOutcome> TakeMemberOutcomes()
  {
    std::vector<JobCallOutcome> outcomes;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* reply = std::get_if<JobReply>(&sent.Message().Body())) {
        outcomes.push_back(reply->Outcome());
      }
    }
    return outcomes;
  }

  /// @returns what the heartbeats to members say of overload since the last call.
  std::vector<bool> TakeOverload()
  {
    std::vector<bool> overloaded;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* heartbeat = std::get_if<LinkHeartbeat>(&sent.Message().Body())) {
        overloaded.push_back(heartbeat->Overloaded());
      }
    }
    return overloaded;
  }

  void Forward(const CellRequest& aRequest, Time aReceived, std::uint64_t aLink = 0)
  {
    Deliver(FromMember::Create({ .mNode = "n2",
                                 .mMessage = LinkMessage::Create({ .mBody = aRequest }).value(),
                                 .mReceived = aReceived,
                                 .mLink = aLink })
              .value());
  }

  /// Replaces the link of n2 by another.
  void Relink(std::uint64_t aBefore, std::uint64_t aLink)
  {
    Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = false, .mLink = aBefore }).value());
    Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true, .mLink = aLink }).value());
  }

  /// @returns the links that replies were sent over since the last call.
  std::vector<std::uint64_t> TakeReplyLinks()
  {
    std::vector<std::uint64_t> links;
    for (const auto& sent : Take<SendToMember>()) {
      if (std::holds_alternative<JobReply>(sent.Message().Body())) {
        links.push_back(sent.Link());
      }
    }
    return links;
  }
};

/// A member of the owner n2 with the epoch 3.
struct Member : EntryFixture
{
  Member()
  {
    Configure();
    Join(false);
    SetRemoteOwner(3);
  }

  /// Delivers the owner's heartbeat.
  void Beat(bool aOverloaded)
  {
    Deliver(
      FromOwner::Create(
        { .mMessage = LinkMessage::Create(
                        { .mBody = LinkHeartbeat::Create(
                                     { .mEpoch = 3, .mOwner = true, .mOverloaded = aOverloaded })
                                     .value() })
                        .value() })
        .value());
  }

  /// @returns the requests that were forwarded to the owner since the last call.
  std::vector<CellRequest> TakeRequests()
  {
    std::vector<CellRequest> requests;
    mRequestLinks.clear();
    for (const auto& sent : Take<SendToOwner>()) {
      if (const auto* request = std::get_if<CellRequest>(&sent.Message().Body())) {
        requests.push_back(*request);
        mRequestLinks.push_back(sent.Link());
      }
    }
    return requests;
  }

  /// Opens another link to the same owner, which says at once that it is active.
  void Relink(std::uint64_t aLink)
  {
    Deliver(
      LinkChanged::Create({ .mPeer = mState.mOwner->Link(), .mUp = true, .mLink = aLink }).value());
    auto heartbeat = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true }).value();
    Deliver(FromOwner::Create(
              { .mMessage = LinkMessage::Create({ .mBody = std::move(heartbeat) }).value(),
                .mLink = aLink })
              .value());
  }

  /// Delivers the owner's reply to a call.
  void Reply(std::uint64_t aCall, JobCallOutcome aOutcome, std::uint64_t aLink)
  {
    auto reply = JobReply::Create({ .mCall = aCall, .mOutcome = aOutcome }).value();
    Deliver(
      FromOwner::Create(
        { .mMessage = LinkMessage::Create({ .mBody = std::move(reply) }).value(), .mLink = aLink })
        .value());
  }

  /// The links that the requests of the last TakeRequests() were sent over.
  std::vector<std::uint64_t> mRequestLinks;
};

} // namespace

/// A node that was killed and started again took the answers to its earlier process for answers to
/// calls of its own with the same numbers: jobs that no node knew were reported as accepted.
TEST_GROUP(CallLives){};

TEST(CallLives, ReplyLeavesByTheLinkOfItsRequest)
{
  Owner owner;
  owner.Relink(0, 1);
  owner.Take<SendToMember>();
  owner.Forward(RequestOf(owner, JobCallKind::Count), owner.mNow, 1);
  owner.Relink(1, 2);
  CHECK(owner.TakeReplyLinks() == std::vector<std::uint64_t>{ 1 });
  owner.Forward(RequestOf(owner, JobCallKind::Count), owner.mNow, 2);
  CHECK(owner.TakeReplyLinks() == std::vector<std::uint64_t>{ 2 });
}

TEST(CallLives, CallerOfAnEarlierLinkIsNotAnsweredOnceItsJobIsStored)
{
  Owner owner;
  owner.Relink(0, 1);
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow, 1);
  owner.Relink(1, 2);
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow, 2);
  owner.Take<SendToMember>();
  owner.Advance(Time::FromMilliseconds(50));
  owner.Deliver(
    CellAppended::Create({ .mEpoch = 3, .mSequence = 1, .mOutcome = StoreOutcome::Done }).value());
  CHECK(owner.TakeReplyLinks() == std::vector<std::uint64_t>{ 2 });
}

TEST(CallLives, RefusalOfANodeThatIsNotTheOwnerLeavesByTheLinkOfItsRequest)
{
  Member member;
  member.Deliver(MemberChanged::Create({ .mNode = "n3", .mUp = true, .mLink = 1 }).value());
  member.Take<SendToMember>();
  member.Deliver(
    FromMember::Create(
      { .mNode = "n3",
        .mMessage = LinkMessage::Create({ .mBody = RequestOf(member, JobCallKind::Show) }).value(),
        .mReceived = member.mNow,
        .mLink = 1 })
      .value());
  member.Deliver(MemberChanged::Create({ .mNode = "n3", .mUp = true, .mLink = 2 }).value());
  for (const auto& sent : member.Take<SendToMember>()) {
    if (std::holds_alternative<JobReply>(sent.Message().Body())) {
      CHECK_EQUAL(1, sent.Link());
    }
  }
}

TEST(CallLives, RequestOfAnEarlierLinkHasNoEffect)
{
  Owner owner;
  owner.Relink(0, 1);
  owner.Relink(1, 2);
  owner.Take<SendToMember>();
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow, 1);
  CHECK(owner.mState.mCell->mJobs.empty());
  CHECK(owner.Take<SendToMember>().empty());
}

TEST(CallLives, ReplyOfAnEarlierLinkDoesNotAnswerACallOfTheNextOne)
{
  Member member;
  member.Relink(1);
  member.Relink(2);
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.Reply(1, JobCallOutcome::Refused, 1);
  CHECK(member.TakeOutcomes().empty());
  CHECK_EQUAL(1, member.mState.mCalls.size());
  member.Reply(1, JobCallOutcome::Accepted, 2);
  CHECK(member.TakeOutcomes() == std::vector{ JobCallOutcome::Accepted });
}

/// A request that was meant for an earlier link used to leave by the next one and once more after
/// it, so that the reply to one copy could belie what became of the other.
TEST(CallLives, RequestIsBoundToTheLinkThatItWasForwardedOver)
{
  Member member;
  member.Relink(1);
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK_EQUAL(1, member.TakeRequests().size());
  CHECK(member.mRequestLinks == std::vector<std::uint64_t>{ 1 });
  member.Relink(2);
  CHECK_EQUAL(1, member.TakeRequests().size());
  CHECK(member.mRequestLinks == std::vector<std::uint64_t>{ 2 });
}

/// An owner that was behind spent most of its time on requests whose callers had left and repeated
/// them, so that it never caught up.
TEST_GROUP(Calls){};

/// A question about a job that was answered late left no trace in any log.
TEST(Calls, AnswerThatComesLateIsLogged)
{
  Member member;
  const auto answerAfter = [&](std::uint64_t aCall, std::int64_t aMilliseconds) {
    member.SendCall(aCall, JobCallKind::Show, kJobPath);
    member.Take<LogLine>();
    member.Advance(Time::FromMilliseconds(aMilliseconds));
    member.Reply(aCall, JobCallOutcome::Shown, 0);
    std::vector<std::string> details;
    for (const auto& line : member.Take<LogLine>()) {
      if (line.Event() == "call.slow") {
        STRCMP_EQUAL(kJob, line.Subject().c_str());
        details.push_back(line.Detail());
      }
    }
    return details;
  };
  CHECK(answerAfter(1, 400).empty());
  const auto slow = answerAfter(2, 600);
  CHECK_EQUAL(1, slow.size());
  STRCMP_CONTAINS("waited_ms=600 outcome=shown handed_to_epoch=3", slow.front().c_str());
}

TEST(Calls, LinesOnLateAnswersAreBounded)
{
  constexpr std::uint64_t kCalls = 200;
  constexpr std::size_t kMaxLines = 20;
  Member member;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    member.SendCall(call, JobCallKind::Show, kJobPath);
  }
  member.Take<LogLine>();
  member.Advance(Time::FromMilliseconds(600));
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    member.Reply(call, JobCallOutcome::Shown, 0);
  }
  CHECK(member.mState.mCalls.empty());
  const auto lines = member.Take<LogLine>().size();
  CHECK(lines > 0);
  CHECK(lines <= kMaxLines);
}

TEST(Calls, ForwardedRequestSaysHowLongItsCallerStillWaits)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  const auto first = member.TakeRequests();
  CHECK_EQUAL(1, first.size());
  CHECK(first.front().Timeout() == member.mState.mSettings.AnswerWait());
  member.Advance(Time::FromMilliseconds(300));
  member.SetRemoteOwner(4, "n3");
  const auto second = member.TakeRequests();
  CHECK_EQUAL(1, second.size());
  CHECK(second.front().Timeout() ==
        member.mState.mSettings.AnswerWait() - Time::FromMilliseconds(300));
}

TEST(Calls, DeadlineOfTheCallerLimitsTheWait)
{
  Member member;
  member.Deliver(JobCall::Create({ .mCall = 1,
                                   .mKind = JobCallKind::Show,
                                   .mHost = "h",
                                   .mPath = kJobPath,
                                   .mTimeout = Time::FromMilliseconds(250) })
                   .value());
  CHECK(member.TakeRequests().front().Timeout() == Time::FromMilliseconds(250));
}

TEST(Calls, OwnerDropsARequestWhoseCallerHasLeft)
{
  Owner owner;
  owner.Take<SendToMember>();
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow - kTimeout);
  owner.Forward(RequestOf(owner, JobCallKind::Show), owner.mNow - kTimeout);
  CHECK(owner.mState.mCell->mJobs.empty());
  CHECK(owner.Take<SendToMember>().empty());
  CHECK(owner.Take<AppendToCell>().empty());
}

TEST(Calls, OwnerServesARequestWhoseCallerStillWaits)
{
  Owner owner;
  owner.Forward(RequestOf(owner, JobCallKind::Submit),
                owner.mNow - kTimeout + Time::FromMilliseconds(1));
  CHECK_EQUAL(1, owner.mState.mCell->mJobs.size());
}

TEST(Calls, DroppedRequestsAreReportedOnceASecond)
{
  Owner owner;
  owner.Take<LogLine>();
  for (int i = 0; i < 100; ++i) {
    owner.Forward(RequestOf(owner, JobCallKind::Show), owner.mNow - kTimeout);
    owner.Advance(Time::FromMilliseconds(10));
  }
  const auto lines = owner.Take<LogLine>();
  CHECK_EQUAL(1, std::count_if(lines.begin(), lines.end(), [](const LogLine& aLine) {
                return aLine.Event() == "call.dropped";
              }));
}

/// Requests waited at an owner that was behind until their callers gave up after 2 s.
TEST_GROUP(Overload){};

TEST(Overload, OwnerIsOverloadedUntilItHasBeenCalmForASecond)
{
  Owner owner;
  const auto limit = owner.mState.mSettings.OverloadDelay();
  owner.TakeOverload();
  owner.Tick(limit);
  CHECK(owner.TakeOverload().empty());
  owner.Tick(limit + Time::FromMilliseconds(1));
  CHECK(owner.TakeOverload() == std::vector{ true });
  owner.Advance(Time::FromMilliseconds(900));
  owner.Tick(Time::FromMilliseconds(limit.Milliseconds() / 2));
  owner.Advance(Time::FromMilliseconds(1000));
  CHECK(owner.TakeOverload().empty());
  owner.Advance(Time::FromMilliseconds(100));
  CHECK(owner.TakeOverload() == std::vector{ false });
}

/// Requests that had waited while a new owner loaded the cell made it refuse jobs for a second.
TEST(Overload, DelayThatLoadingTheCellCausedDoesNotCount)
{
  EntryFixture owner;
  owner.Configure();
  owner.BecomeOwner(3);
  const auto tick = [&](Time aQueueDelay) {
    owner.Deliver(ClockTick::Create({ .mNumber = 1, .mQueueDelay = aQueueDelay }).value());
  };
  const auto limit = owner.mState.mSettings.OverloadDelay();
  owner.mNow = owner.mNow + limit * 2;
  tick(limit * 2);
  owner.mNow = owner.mNow + limit;
  tick(limit * 3);
  CHECK(owner.mState.mLoad.mOverloadedAt == Time::Never());
  owner.mNow = owner.mNow + Time::FromMilliseconds(1);
  tick(limit * 3);
  CHECK(owner.mState.mLoad.mOverloadedAt == owner.mNow);
}

TEST(Overload, OverloadedOwnerRefusesNewJobsOnly)
{
  Owner owner;
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow);
  owner.Advance(Time::FromMilliseconds(50));
  owner.Deliver(
    CellAppended::Create({ .mEpoch = 3, .mSequence = 1, .mOutcome = StoreOutcome::Done }).value());
  CHECK(owner.TakeMemberOutcomes() == std::vector{ JobCallOutcome::Accepted });
  owner.Tick(owner.mState.mSettings.OverloadDelay() * 2);
  owner.Forward(RequestOf(owner, JobCallKind::Submit, "fedcba9876543210"), owner.mNow);
  owner.Forward(RequestOf(owner, JobCallKind::Submit), owner.mNow);
  owner.Forward(RequestOf(owner, JobCallKind::Show), owner.mNow);
  CHECK(owner.TakeMemberOutcomes() ==
        (std::vector{ JobCallOutcome::Refused, JobCallOutcome::Accepted, JobCallOutcome::Shown }));
  CHECK_EQUAL(1, owner.mState.mCell->mJobs.size());
  owner.SendCall(1, JobCallKind::Submit, "/q/00000000000000ff");
  CHECK(owner.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
  CHECK(owner.mState.mCalls.empty());
}

TEST(Overload, MemberRefusesNewJobsOfAnOverloadedOwnerItself)
{
  Member member;
  member.Beat(true);
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK(member.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
  CHECK(member.TakeRequests().empty());
  member.SendCall(2, JobCallKind::Show, kJobPath);
  member.SendCall(3, JobCallKind::Cancel, kJobPath);
  CHECK_EQUAL(2, member.TakeRequests().size());
  member.Beat(false);
  member.SendCall(4, JobCallKind::Submit, kJobPath);
  CHECK_EQUAL(1, member.TakeRequests().size());
}

TEST(Overload, SubmissionThatWasForwardedBeforeIsNotRefusedAsNotRun)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = false }).value());
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = true }).value());
  member.Take<SendToOwner>();
  member.Beat(true);
  CHECK_EQUAL(1, member.TakeRequests().size());
  CHECK(member.TakeOutcomes().empty());
}

TEST(Overload, MemberRefusesSubmissionsBesideManyThatStall)
{
  Member member;
  constexpr std::uint64_t kCalls = 33;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    member.SendCall(call, JobCallKind::Submit, kJobPath);
  }
  member.Advance(Time::FromMilliseconds(500));
  member.SendCall(kCalls + 1, JobCallKind::Submit, kJobPath);
  CHECK(member.TakeOutcomes().empty());
  member.Advance(Time::FromMilliseconds(550));
  member.SendCall(kCalls + 2, JobCallKind::Submit, kJobPath);
  CHECK(member.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
  member.TakeRequests();
  member.SendCall(kCalls + 3, JobCallKind::Show, kJobPath);
  CHECK_EQUAL(1, member.TakeRequests().size());
}

TEST(Overload, RefusedCallersComeBackAtDifferentTimesAndLaterTheLongerItLasts)
{
  Member member;
  member.Beat(true);
  const auto takeDelays = [&](std::uint64_t aFirst) {
    for (auto call = aFirst; call < aFirst + 4; ++call) {
      member.SendCall(call, JobCallKind::Submit, kJobPath);
    }
    std::vector<Time> delays;
    for (const auto& reply : member.Take<ReplyToCaller>()) {
      delays.push_back(reply.Reply().RetryAfter());
    }
    return delays;
  };
  const auto early = takeDelays(4);
  CHECK_EQUAL(4, early.size());
  CHECK(early.front() >= member.mState.mSettings.RetryAfter());
  CHECK(early.front() < early.back());
  member.Advance(Time::FromMilliseconds(1400));
  member.Beat(true);
  const auto late = takeDelays(8);
  CHECK_EQUAL(4, late.size());
  CHECK(early.front() < late.front());
  CHECK(late.back() <= Time::FromSeconds(3));
}

/// Callers were left without an answer, or were told that a submission does not run although it
/// may.
TEST_GROUP(LostOwner){};

TEST(LostOwner, OpenCallsAreAnsweredWhenTheTimeForAStopHasRunOut)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.Deliver(StopRequested::Create({ .mGrace = Time::FromMilliseconds(1500) }).value());
  member.Advance(Time::FromMilliseconds(700));
  member.SendCall(2, JobCallKind::Submit, kJobPath);
  member.SendCall(3, JobCallKind::Show, kJobPath);
  member.Advance(Time::FromMilliseconds(150));
  CHECK_EQUAL(1, member.Take<ExitEntry>().size());
  CHECK(
    member.TakeOutcomes() ==
    (std::vector{ JobCallOutcome::Uncertain, JobCallOutcome::Uncertain, JobCallOutcome::Refused }));
}

/// A request whose owner was lost later than owner_wait was given up at once.
TEST(LostOwner, ForwardedRequestWaitsForTheNextOwnerForTheWholeAnswerWait)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.TakeRequests();
  member.Advance(member.mState.mSettings.OwnerWait() + Time::FromMilliseconds(100));
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = false }).value());
  member.Advance(Time::FromMilliseconds(100));
  CHECK(member.TakeOutcomes().empty());
  member.SetRemoteOwner(4, "n3");
  CHECK_EQUAL(1, member.TakeRequests().size());
}

/// The first owner stored the job; the refusal of a node that does not own the cell says nothing of
/// that.
TEST(LostOwner, RefusalOfANodeThatIsNotTheOwnerIsNotPassedOn)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.SetRemoteOwner(4, "n3");
  CHECK_EQUAL(2, member.TakeRequests().size());
  const auto send = [&](auto aBody) {
    member.Deliver(
      FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = std::move(aBody) }).value() })
        .value());
  };
  send(LinkHeartbeat::Create({ .mEpoch = 4, .mOwner = false }).value());
  send(JobReply::Create({ .mCall = 1, .mOutcome = JobCallOutcome::Refused }).value());
  CHECK(member.TakeOutcomes().empty());
  member.SetRemoteOwner(5, "n4");
  CHECK_EQUAL(1, member.TakeRequests().size());
  send(JobReply::Create({ .mCall = 1, .mOutcome = JobCallOutcome::Accepted }).value());
  CHECK(member.TakeOutcomes() == std::vector{ JobCallOutcome::Accepted });
}

TEST(LostOwner, SubmissionThatOnlyNodesWithoutTheCellGotIsRefused)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.Deliver(
    FromOwner::Create(
      { .mMessage = LinkMessage::Create(
                      { .mBody = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = false }).value() })
                      .value() })
      .value());
  member.Deliver(
    FromOwner::Create(
      { .mMessage =
          LinkMessage::Create(
            { .mBody =
                JobReply::Create({ .mCall = 1, .mOutcome = JobCallOutcome::Refused }).value() })
            .value() })
      .value());
  CHECK(member.TakeOutcomes().empty());
  member.Advance(member.mState.mSettings.OwnerWait() + Time::FromMilliseconds(50));
  CHECK(member.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
}

TEST(LostOwner, NodeThatIsNotTheOwnerSaysSoBeforeItRefusesARequest)
{
  Owner node;
  node.SetRemoteOwner(4, "n3");
  node.Take<SendToMember>();
  node.Forward(RequestOf(node, JobCallKind::Submit), node.mNow);
  const auto sent = node.Take<SendToMember>();
  CHECK_EQUAL(2, sent.size());
  const auto* heartbeat = std::get_if<LinkHeartbeat>(&sent.front().Message().Body());
  CHECK(heartbeat != nullptr && !heartbeat->Owner());
  CHECK(std::holds_alternative<JobReply>(sent.back().Message().Body()));
}

TEST(LostOwner, OwnerThatStepsDownTellsItsMembersAtOnce)
{
  Owner owner;
  owner.Take<SendToMember>();
  owner.SetRemoteOwner(4, "n3");
  const auto sent = owner.Take<SendToMember>();
  CHECK_EQUAL(2, sent.size());
  const auto* claim = std::get_if<CellClaim>(&sent.front().Message().Body());
  CHECK(claim != nullptr && claim->Node() == "n3" && claim->Epoch() == 4);
  const auto* heartbeat = std::get_if<LinkHeartbeat>(&sent.back().Message().Body());
  CHECK(heartbeat != nullptr && !heartbeat->Owner());
}

/// Requests were sent over a connection that had been replaced, and waited until they were given
/// up.
TEST(LostOwner, RequestIsForwardedAgainOverAReplacedConnection)
{
  Member member;
  member.SendCall(1, JobCallKind::Submit, kJobPath);
  member.TakeRequests();
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = true }).value());
  CHECK(member.TakeRequests().empty());
  member.Beat(false);
  CHECK_EQUAL(1, member.TakeRequests().size());
}

TEST(LostOwner, SubmissionOfAnOwnerThatStepsDownIsForwardedToTheNext)
{
  Owner owner;
  owner.SendCall(1, JobCallKind::Submit, kJobPath);
  owner.SetRemoteOwner(4, "n3");
  const auto sent = owner.Take<SendToOwner>();
  CHECK_EQUAL(1, std::count_if(sent.begin(), sent.end(), [](const SendToOwner& aEffect) {
                return std::holds_alternative<CellRequest>(aEffect.Message().Body());
              }));
  CHECK(owner.TakeOutcomes().empty());
}

namespace {

/// An owner that is asked for a job that it does not know.
struct AskedOwner : EntryFixture
{
  static constexpr const char* kPath = "/q/0123456789abcdef";

  AskedOwner()
  {
    Configure();
    BecomeOwner(3);
    Advance(Time::FromMilliseconds(500));
    Take<ReadClaim>();
    SendCall(1, JobCallKind::Show, kPath);
  }

  /// Answers the read of the claim.
  void AnswerClaim(std::uint64_t aEpoch, const std::string& aNode, std::uint64_t aIncarnation)
  {
    Deliver(ClaimRead::Create(
              { .mOutcome = StoreOutcome::Done,
                .mClaim = CellClaim::Create(
                            { .mEpoch = aEpoch, .mNode = aNode, .mIncarnation = aIncarnation })
                            .value(),
                .mEnd = aEpoch })
              .value());
  }
};

} // namespace

/// An owner that the store had confirmed a second ago denied jobs that its successor had accepted.
TEST_GROUP(UnknownJobs){};

TEST(UnknownJobs, OwnerAsksTheStoreBeforeItDeniesAJob)
{
  AskedOwner owner;
  CHECK(owner.TakeOutcomes().empty());
  CHECK_EQUAL(1, owner.Take<ReadClaim>().size());
  owner.AnswerClaim(3, "n1", 1);
  CHECK(owner.TakeOutcomes() == std::vector{ JobCallOutcome::UnknownJob });
}

TEST(UnknownJobs, OwnerThatWasReplacedDoesNotDenyAJob)
{
  AskedOwner owner;
  owner.AnswerClaim(4, "n2", 1);
  CHECK(owner.TakeOutcomes().empty());
  CHECK_EQUAL(1, owner.mState.mCalls.size());
}

TEST(UnknownJobs, ReadThatBeganBeforeTheCallDoesNotCount)
{
  AskedOwner owner;
  CHECK_EQUAL(1, owner.Take<ReadClaim>().size());
  owner.Advance(Time::FromMilliseconds(10));
  owner.SendCall(2, JobCallKind::Cancel, AskedOwner::kPath);
  owner.AnswerClaim(3, "n1", 1);
  CHECK(owner.TakeOutcomes() == std::vector{ JobCallOutcome::UnknownJob });
  owner.Advance(Time::FromMilliseconds(60));
  CHECK_EQUAL(1, owner.Take<ReadClaim>().size());
  owner.AnswerClaim(3, "n1", 1);
  CHECK(owner.TakeOutcomes() == std::vector{ JobCallOutcome::UnknownJob });
}
