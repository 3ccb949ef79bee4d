#include <CppUTest/TestHarness.h>

#include "by_node/NodeFixture.h"

using namespace by;

TEST_GROUP(Request)
{
  NodeFixture mNode;

  void setup() override
  {
    mNode.AcquireRack();
  }

  static void CheckAnswer(
    const std::vector<NodeEffect>& aEffects, const char* aRequest, Outcome aOutcome, Reason aReason)
  {
    const auto* answer = FindEffect<AnswerCaller>(aEffects);
    CHECK(answer != nullptr);
    STRCMP_EQUAL(aRequest, answer->Answer().Request().Text().c_str());
    CHECK(answer->Answer().Outcome() == aOutcome);
    CHECK(answer->Answer().Reason() == aReason);
  }
};

TEST(Request, IsAnsweredWithItsOwnResult)
{
  const auto started = mNode.Submit("r1", true);
  const auto* start = FindEffect<SendStart>(started);
  CHECK(start != nullptr);
  const auto effects = mNode.EndTask(*start, TaskState::Succeeded, "result of r1");
  CheckAnswer(effects, "r1", Outcome::Answered, Reason::None);
  STRCMP_EQUAL("result of r1", FindEffect<AnswerCaller>(effects)->Answer().Payload().c_str());
}

TEST(Request, LateAnswerToAnEarlierAttemptIsDropped)
{
  const auto started = mNode.Submit("r1", true);
  const auto first = *FindEffect<SendStart>(started);
  const auto again = mNode.EndTask(first, TaskState::NotStarted, "");
  const auto* second = FindEffect<SendStart>(again);
  CHECK(second != nullptr);
  CHECK(FindEffect<AnswerCaller>(mNode.EndTask(first, TaskState::Succeeded, "late")) == nullptr);
  CheckAnswer(
    mNode.EndTask(*second, TaskState::Succeeded, "right"), "r1", Outcome::Answered, Reason::None);
}

TEST(Request, AnswersOutOfOrderReachTheirOwnCallers)
{
  const auto one = mNode.Submit("r1", true);
  const auto two = mNode.Submit("r2", true);
  const auto first = *FindEffect<SendStart>(one);
  const auto second = *FindEffect<SendStart>(two);
  CheckAnswer(
    mNode.EndTask(second, TaskState::Succeeded, "2"), "r2", Outcome::Answered, Reason::None);
  CheckAnswer(
    mNode.EndTask(first, TaskState::Succeeded, "1"), "r1", Outcome::Answered, Reason::None);
}

TEST(Request, NotStartedWithinItsMaxWaitIsRefusedAndNeverStarts)
{
  mNode.Submit("r1", true);
  mNode.Submit("r2", true);
  auto effects = mNode.Submit("r3", true);
  auto later = mNode.AdvanceTime(3500);
  effects.insert(effects.end(), later.begin(), later.end());
  CheckAnswer(effects, "r3", Outcome::NotRun, Reason::MaxWaitExceeded);
  CHECK(FindEffect<SendStart>(effects) == nullptr);
}

TEST(Request, NonIdempotentStartsOnlyAfterItsClaimIsReadFromTheLog)
{
  auto effects = mNode.Submit("r1", false);
  CHECK(FindEffect<SendStart>(effects) == nullptr);
  CHECK(FindEffect<SendStart>(mNode.AdvanceTime(100)) == nullptr);
  CHECK(FindEffect<SendStart>(mNode.DeliverLog()) != nullptr);
}

TEST(Request, NonIdempotentIsRefusedWhileTheLogIsDown)
{
  mNode.Handle(LogReadFailed());
  CheckAnswer(mNode.Submit("r1", false), "r1", Outcome::NotRun, Reason::LogUnavailable);
}

TEST(Request, IdempotentRunsWhileTheLogIsDown)
{
  mNode.Handle(LogReadFailed());
  CHECK(FindEffect<SendStart>(mNode.Submit("r1", true)) != nullptr);
}

TEST(Request, RepeatedLabelJoinsTheExistingRun)
{
  mNode.Submit("r1", false);
  mNode.AdvanceTime(100);
  const auto started = mNode.DeliverLog();
  const auto start = *FindEffect<SendStart>(started);
  const auto repeat = mNode.Submit("r2", false);
  CHECK(FindEffect<SendStart>(repeat) == nullptr);
  const auto effects = mNode.EndTask(start, TaskState::Succeeded, "once");
  int answers = 0;
  for (const auto& effect : effects) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect.Body())) {
      STRCMP_EQUAL("once", answer->Answer().Payload().c_str());
      ++answers;
    }
  }
  LONGS_EQUAL(2, answers);
  CheckAnswer(mNode.Submit("r3", false), "r3", Outcome::Answered, Reason::None);
}

TEST(Request, LabelReusedForAnotherRequestIsRefused)
{
  mNode.Submit("r1", false);
  mNode.AdvanceTime(100);
  mNode.DeliverLog();
  const auto other = NodeFixture::MakeRequest("r2", false, "l").ToFields();
  auto fields = other;
  fields.mPayload = "something else";
  const auto effects =
    mNode.Handle(CallerSubmitted::Create({ .mRequest = Request::Create(fields).value() }).value());
  CheckAnswer(effects, "r2", Outcome::NotRun, Reason::LabelReused);
}

TEST(Request, LabelClaimedByALostNodeIsUnknownAndNeverRuns)
{
  auto claim =
    RequestClaim::Create(
      { .mTeam = TeamId("team"), .mLabel = "l", .mRequest = RequestId("other"), .mDigest = 0 })
      .value();
  // Uses the digest of the same request, as the other node would have claimed it.
  mNode.Submit("r1", false);
  mNode.AdvanceTime(100);
  const auto own = std::get<RequestClaims>(mNode.mAppended.back().Body()).Claims().front();
  mNode.mAppended.clear();
  claim = claim.WithDigest(own.Digest());
  const auto effects = mNode.DeliverPeerRecord(
    "x-1",
    RequestClaims::Create({ .mNode = NodeId("node-9"), .mIncarnation = 3, .mClaims = { claim } })
      .value());
  CheckAnswer(effects, "r1", Outcome::Unknown, Reason::Lost);
  CHECK(FindEffect<SendStart>(effects) == nullptr);
}

TEST(Request, ClaimOfARequestThatDidNotRunIsReleased)
{
  mNode.Submit("a", true);
  mNode.Submit("b", true);
  mNode.Submit("r1", false);
  mNode.AdvanceTime(100);
  mNode.DeliverLog();
  mNode.AdvanceTime(3000);
  bool released = false;
  for (const auto& record : mNode.mAppended) {
    if (const auto* claims = std::get_if<RequestClaims>(&record.Body())) {
      released = released || claims->Claims().back().Release();
    }
  }
  CHECK(released);
}

TEST(Request, QueuedRequestOfADisconnectedCallerNeverStarts)
{
  const auto one = mNode.Submit("r1", true);
  const auto first = *FindEffect<SendStart>(one);
  mNode.Submit("r2", true);
  mNode.Submit("r3", true);
  mNode.Handle(CallerGone::Create({ .mRequest = RequestId("r3") }).value());
  const auto effects = mNode.EndTask(first, TaskState::Succeeded, "1");
  CHECK(FindEffect<SendStart>(effects) == nullptr);
}

TEST(Request, WithoutLocalCapacityIsForwarded)
{
  mNode.Submit("r1", true);
  mNode.Submit("r2", true);
  mNode.ReceivePeerHeartbeat();
  const auto effects = mNode.Submit("r3", true);
  CHECK(FindFrame<ForwardedRequest>(effects) != nullptr);
}

TEST(Request, ReceivedByForwardingIsNotForwardedAgain)
{
  mNode.Submit("r1", true);
  mNode.Submit("r2", true);
  mNode.ReceivePeerHeartbeat();
  const auto effects = mNode.HandleFrame(
    ForwardedRequest::Create({ .mFrom = NodeId("node-2"),
                               .mAttempt = 1,
                               .mMaxWaitLeft = Time::FromMilliseconds(1000),
                               .mRequest = NodeFixture::MakeRequest("r3", true, "l") })
      .value());
  CHECK(FindFrame<ForwardedRequest>(effects) == nullptr);
}

TEST(Request, ForwardedTwiceRunsOnce)
{
  const auto forwarded =
    ForwardedRequest::Create({ .mFrom = NodeId("node-2"),
                               .mAttempt = 1,
                               .mMaxWaitLeft = Time::FromMilliseconds(1000),
                               .mRequest = NodeFixture::MakeRequest("r1", false, "l") })
      .value();
  const auto once = mNode.HandleFrame(forwarded);
  const auto start = *FindEffect<SendStart>(once);
  CHECK(FindEffect<SendStart>(mNode.HandleFrame(forwarded)) == nullptr);
  mNode.EndTask(start, TaskState::Succeeded, "1");
  const auto again = mNode.HandleFrame(forwarded);
  CHECK(FindEffect<SendStart>(again) == nullptr);
  CHECK(FindFrame<ForwardedAnswer>(again) != nullptr);
}

TEST(Request, CancelledBeforeItArrivesIsRefusedOnArrival)
{
  mNode.HandleFrame(
    ForwardedCancel::Create({ .mRequest = RequestId("r1"), .mAttempt = 1 }).value());
  const auto effects = mNode.HandleFrame(
    ForwardedRequest::Create({ .mFrom = NodeId("node-2"),
                               .mAttempt = 1,
                               .mMaxWaitLeft = Time::FromMilliseconds(1000),
                               .mRequest = NodeFixture::MakeRequest("r1", true, "l") })
      .value());
  CHECK(FindEffect<SendStart>(effects) == nullptr);
  CHECK(FindFrame<ForwardedAnswer>(effects)->Answer().Outcome() == Outcome::NotRun);
}

TEST(Request, ForwardedToANodeThatFailsIsUnknown)
{
  mNode.Submit("r1", true);
  mNode.Submit("r2", true);
  mNode.ReceivePeerHeartbeat();
  mNode.Submit("r3", false, "m");
  mNode.AdvanceTime(100);
  CHECK(FindFrame<ForwardedRequest>(mNode.DeliverLog()) != nullptr);
  CheckAnswer(mNode.AdvanceTime(4000), "r3", Outcome::Unknown, Reason::Lost);
}

TEST(Request, WhoseFrameWasNotSentIsRequeued)
{
  mNode.Submit("r1", true);
  mNode.Submit("r2", true);
  mNode.ReceivePeerHeartbeat();
  mNode.Submit("r3", true);
  const auto effects = mNode.Handle(
    PeerUnreachable::Create({ .mPeer = NodeId("node-2"), .mUnsent = { RequestId("r3") } }).value());
  CHECK(FindEffect<AnswerCaller>(effects) == nullptr);
  CHECK(mNode.mState.mRequests.mRows.at(RequestId("r3")).Phase() == RequestPhase::Queued);
}

TEST(Request, WithUnansweredStartIsUnknown)
{
  const auto started = mNode.Submit("r1", true);
  const auto& start = FindEffect<SendStart>(started)->Start();
  const auto effects = mNode.Handle(TaskUnanswered::Create({ .mVm = VmId("vm-1"),
                                                             .mTask = start.Task(),
                                                             .mGeneration = start.Generation(),
                                                             .mMayHaveStarted = true })
                                      .value());
  CheckAnswer(effects, "r1", Outcome::Unknown, Reason::Lost);
}

TEST(Request, RetriesStopWhenTheirBudgetIsSpent)
{
  mNode.mState.mRequests.mRetryCredit = 0;
  const auto started = mNode.Submit("r1", true);
  const auto effects = mNode.EndTask(*FindEffect<SendStart>(started), TaskState::NotStarted, "");
  CheckAnswer(effects, "r1", Outcome::NotRun, Reason::Refused);
}

TEST(Request, IsNotStartedAfterLeaseExpiry)
{
  mNode.mNow = mNode.mNow + mNode.mState.mSettings.Cluster().LeaseTtl();
  CHECK(FindEffect<SendStart>(mNode.Submit("r1", true)) == nullptr);
}
