#include <CppUTest/TestHarness.h>

#include "by_node/NodeFixture.h"

using namespace by;

TEST_GROUP(Node)
{
  NodeFixture mNode;

  std::vector<NodeEffect> SubmitCall(decltype(OperatorCall::Fields::mBody) aBody, TeamId aTeam = {})
  {
    return mNode.Handle(
      OperatorCall::Create(
        { .mCall = 1, .mTeam = std::move(aTeam), .mFreshId = "fresh", .mBody = std::move(aBody) })
        .value());
  }

  static ReplyCode CodeOf(const std::vector<NodeEffect>& aEffects)
  {
    const auto* reply = FindEffect<ReplyOperator>(aEffects);
    CHECK(reply != nullptr);
    return reply->Reply().Code();
  }

  static ConfigPublish MakeChange(std::uint64_t aBase)
  {
    return ConfigPublish::Create({ .mBaseVersion = aBase, .mOperatorName = "one" }).value();
  }
};

TEST(Node, IsNotReadyBeforeItHasReadTheLogAndTheVmList)
{
  CHECK(FindEffect<SetReady>(mNode.AdvanceTime(100)) == nullptr);
  mNode.DeliverLog();
  CHECK(FindEffect<SetReady>(mNode.AdvanceTime(100)) == nullptr);
  const auto effects =
    mNode.Handle(VmListRead::Create({ .mList = NodeFixture::MakeVmList() }).value());
  CHECK(FindEffect<SetReady>(effects)->Ready());
}

TEST(Node, RacingOperatorsGetOneWinnerAndOneConflict)
{
  mNode.AcquireRack();
  SubmitCall(PublishConfig::Create({ .mChange = MakeChange(0) }).value());
  mNode.AdvanceTime(100);
  auto own = std::exchange(mNode.mAppended, {});
  mNode.DeliverPeerRecord("x-1", MakeChange(0));
  mNode.mAppended = std::move(own);
  CHECK(CodeOf(mNode.DeliverLog()) == ReplyCode::Conflict);
  LONGS_EQUAL(1, mNode.mState.mConfigVersion);
}

TEST(Node, AppendWithoutAnswerIsResolvedByReadingTheLog)
{
  mNode.AcquireRack();
  SubmitCall(PublishConfig::Create({ .mChange = MakeChange(0) }).value());
  mNode.AdvanceTime(100);
  const auto records = mNode.mAppended;
  std::vector<RecordId> ids;
  for (const auto& record : records) {
    ids.push_back(record.Id());
  }
  mNode.Handle(AppendFailed::Create({ .mRecords = ids, .mMayHaveTakenEffect = true }).value());
  CHECK(CodeOf(mNode.DeliverLog()) == ReplyCode::Ok);
  mNode.AdvanceTime(1000);
  mNode.DeliverLog();
  LONGS_EQUAL(1, mNode.mState.mConfigVersion);
}

TEST(Node, ChangeKnownNotAppendedIsRefused)
{
  mNode.AcquireRack();
  SubmitCall(PublishConfig::Create({ .mChange = MakeChange(0) }).value());
  mNode.AdvanceTime(100);
  const auto id = mNode.mAppended.back().Id();
  mNode.mAppended.clear();
  const auto effects = mNode.Handle(
    AppendFailed::Create({ .mRecords = { id }, .mMayHaveTakenEffect = false }).value());
  CHECK(CodeOf(effects) == ReplyCode::Unavailable);
  mNode.AdvanceTime(1000);
  CHECK(mNode.mAppended.empty());
}

TEST(Node, ChangeNotSeenInTheLogInTimeIsUnknown)
{
  mNode.AcquireRack();
  SubmitCall(PublishConfig::Create({ .mChange = MakeChange(0) }).value());
  CHECK(CodeOf(mNode.AdvanceTime(6000)) == ReplyCode::Unknown);
}

TEST(Node, TeamCannotSeeIntentsOfAnotherTeam)
{
  mNode.AcquireRack();
  const auto spec =
    IntentSpec::Create({ .mName = "one", .mTeam = TeamId("team"), .mWorkClass = WorkClass::Batch })
      .value();
  SubmitCall(PlanIntent::Create({ .mSpec = spec }).value());
  mNode.AdvanceTime(100);
  CHECK(CodeOf(mNode.DeliverLog()) == ReplyCode::Ok);
  const auto show = ShowIntent::Create({ .mIntent = IntentId("fresh") }).value();
  CHECK(CodeOf(SubmitCall(show, TeamId("team"))) == ReplyCode::Ok);
  CHECK(CodeOf(SubmitCall(show, TeamId("other"))) == ReplyCode::NotFound);
  CHECK(CodeOf(SubmitCall(ShowState(), TeamId("team"))) == ReplyCode::Forbidden);
}

TEST(Node, DrainAnswersInFlightRequestsAndReleasesRacks)
{
  mNode.AcquireRack();
  const auto started = mNode.Submit("r1", true);
  const auto start = *FindEffect<SendStart>(started);
  const auto drained = SubmitCall(DrainNode());
  CHECK_FALSE(FindEffect<SetReady>(drained)->Ready());
  CHECK(FindEffect<AnswerCaller>(mNode.Submit("r2", true))->Answer().Reason() == Reason::NotReady);
  mNode.AdvanceTime(1000);
  mNode.DeliverLog();
  CHECK(FindEffect<Exit>(mNode.AdvanceTime(1000)) == nullptr);
  CHECK(FindEffect<AnswerCaller>(mNode.EndTask(start, TaskState::Succeeded, "1")) != nullptr);
  CHECK(mNode.mState.mOwnership.mRacks.empty());
  const auto last = mNode.AdvanceTime(1000);
  const auto* exit = FindEffect<Exit>(last);
  CHECK(exit != nullptr);
  CHECK(exit->Clean());
}

TEST(Node, DrainEndsAtItsTimeLimit)
{
  mNode.AcquireRack();
  mNode.Submit("r1", true);
  SubmitCall(DrainNode());
  const auto effects = mNode.AdvanceTime(31'000);
  CHECK(FindEffect<AnswerCaller>(effects)->Answer().Outcome() == Outcome::Unknown);
  CHECK_FALSE(FindEffect<Exit>(effects)->Clean());
}

TEST(Node, StartingNodeAdoptsPeerStateWhileTheLogIsDown)
{
  NodeFixture peer;
  peer.AcquireRack();
  peer.DeliverPeerRecord("x-1", MakeChange(0));
  const auto answer = peer.HandleFrame(StateQuery::Create({ .mFrom = NodeId("node-2") }).value());
  const auto transfer = *FindFrame<StateTransfer>(answer);
  mNode.ReceivePeerHeartbeat();
  mNode.Handle(LogReadFailed());
  CHECK(FindFrame<StateQuery>(mNode.AdvanceTime(1600)) != nullptr);
  mNode.HandleFrame(transfer);
  LONGS_EQUAL(1, mNode.mState.mConfigVersion);
}

TEST(Node, StalePeerStateDoesNotRevertTheConfiguration)
{
  NodeFixture stale;
  stale.AcquireRack();
  const auto answer = stale.HandleFrame(StateQuery::Create({ .mFrom = NodeId("node-2") }).value());
  mNode.AcquireRack();
  mNode.DeliverPeerRecord("x-1", MakeChange(0));
  mNode.HandleFrame(*FindFrame<StateTransfer>(answer));
  LONGS_EQUAL(1, mNode.mState.mConfigVersion);
}

TEST(Node, LogAppendsStayWithinTheirBudget)
{
  mNode.AcquireRack();
  mNode.AdvanceTime(2000);
  int appends = 0;
  for (int n = 0; n < 500; ++n) {
    mNode.Submit("r" + std::to_string(n), false, "l" + std::to_string(n));
    for (const auto& effect : mNode.AdvanceTime(20)) {
      appends += std::holds_alternative<AppendRecords>(effect.Body()) ? 1 : 0;
    }
    mNode.Handle(AppendDone());
  }
  const auto budget = mNode.mState.mSettings.Platform().AppendBudget();
  CHECK(appends <= budget * 10 + budget / 4 + 1);
}
