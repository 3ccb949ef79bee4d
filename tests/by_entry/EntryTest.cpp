#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr const char* kJob = "/q/0123456789abcdef";

bool
Sent(const std::vector<SendToOwner>& aSent)
{
  return std::any_of(aSent.begin(), aSent.end(), [](const SendToOwner& aEffect) {
    return std::holds_alternative<CellRequest>(aEffect.Message().Body());
  });
}

} // namespace

TEST_GROUP(Entry){};

TEST(Entry, NodeWithoutAConfigurationRefusesAndIsNotReady)
{
  EntryFixture node;
  node.Call(1, JobCallKind::Submit, kJob);
  CHECK(node.TakeVerdicts() == std::vector{ JobCallOutcome::Refused });
  CHECK(node.mState.mReady == false);
  node.Configure();
  CHECK(node.mState.mReady == true);
}

TEST(Entry, PathOfNoQueueIsUnknown)
{
  EntryFixture node;
  node.Configure();
  node.Call(1, JobCallKind::Submit, "/other/0123456789abcdef");
  node.Call(2, JobCallKind::Submit, "/q/short");
  CHECK(node.TakeVerdicts() ==
        (std::vector{ JobCallOutcome::UnknownQueue, JobCallOutcome::UnknownQueue }));
}

TEST(Entry, OlderConfigurationNeverReplacesANewerOne)
{
  EntryFixture node;
  node.Configure(5);
  node.Configure(4);
  CHECK_EQUAL(5, node.mState.mConfig->Version());
}

TEST(Entry, RequestGoesToTheOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Call(1, JobCallKind::Submit, kJob);
  CHECK(Sent(node.Take<SendToOwner>()));
  CHECK(node.TakeVerdicts().empty());
}

TEST(Entry, RequestWithoutAnOwnerIsRefusedAfterABoundedWait)
{
  EntryFixture node;
  node.Configure();
  node.Call(1, JobCallKind::Submit, kJob);
  CHECK(node.TakeVerdicts().empty());
  node.Pass(node.mState.mSettings.OwnerWait() + Time::FromMilliseconds(100));
  CHECK(node.TakeVerdicts() == std::vector{ JobCallOutcome::Refused });
}

TEST(Entry, SubmissionThatAnOwnerHadIsNeverSaidToHaveNotRun)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Call(1, JobCallKind::Submit, kJob);
  node.Deliver(LinkChanged::Create({ .mPeer = node.mState.mOwner->Link(), .mUp = false }).value());
  node.Pass(Time::FromSeconds(3));
  CHECK(node.TakeVerdicts() == std::vector{ JobCallOutcome::Uncertain });
}

TEST(Entry, RequestIsHandedOnToTheNextOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Call(1, JobCallKind::Submit, kJob);
  node.Take<SendToOwner>();
  node.Follow(4, "n3");
  CHECK(Sent(node.Take<SendToOwner>()));
  CHECK(node.TakeVerdicts().empty());
}

TEST(Entry, ChosenNodeClaimsACellWithoutAnOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(true);
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
  node.Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = 0 }).value());
  const auto claims = node.Take<WriteClaim>();
  CHECK_EQUAL(1, claims.size());
  CHECK_EQUAL(1, claims.front().Claim().Epoch());
}

TEST(Entry, ChosenNodeLeavesTheCellToAnOwnerThatWorks)
{
  // The group deals the cell anew whenever a node comes or goes.
  EntryFixture node;
  node.Configure();
  node.Follow(3);
  node.Join(true);
  node.Pass(Time::FromMilliseconds(400));
  CHECK(node.Take<ReadClaim>().empty());
}

TEST(Entry, AnyNodeClaimsFromAnOwnerThatLeaves)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Deliver(
    FromOwner::Create(
      { .mMessage =
          LinkMessage::Create({ .mBody = OwnerLeaving::Create({ .mEpoch = 3 }).value() }).value() })
      .value());
  node.Pass(Time::FromMilliseconds(200));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, NodeThatOnlyLostItsLinkWaitsForTheGroup)
{
  // Else nodes that can't see each other would take the cell from each other.
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Deliver(LinkChanged::Create({ .mPeer = node.mState.mOwner->Link(), .mUp = false }).value());
  node.Pass(Time::FromSeconds(2));
  CHECK(node.Take<ReadClaim>().empty());
  node.Join(true);
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, LostAnswerToAClaimIsSettledByReadingIt)
{
  EntryFixture node;
  node.Configure();
  node.Join(true);
  node.Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = 0 }).value());
  const auto claim = node.Take<WriteClaim>().front().Claim();
  node.Take<ReadClaim>();
  node.Deliver(
    ClaimWritten::Create({ .mOutcome = StoreOutcome::Unanswered, .mClaim = claim }).value());
  node.Pass(Time::FromMilliseconds(200));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
  node.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 1 }).value());
  const auto loads = node.Take<LoadCell>();
  CHECK_EQUAL(1, loads.size());
  CHECK_EQUAL(1, loads.front().Epoch());
}

TEST(Entry, OwnerStepsDownForANewerClaim)
{
  EntryFixture node;
  node.Configure();
  node.Own(3);
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  node.Follow(4);
  CHECK(node.mState.mPhase == OwnerPhase::Member);
  CHECK(!node.mState.mCell);
}

TEST(Entry, OwnerWorksOnAlthoughTheGroupChoseAnother)
{
  EntryFixture node;
  node.Configure();
  node.Own(3);
  node.Join(false);
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
}

TEST(Entry, StoppingOwnerWorksOnUntilAnotherHasClaimed)
{
  EntryFixture node;
  node.Configure();
  node.Own(3);
  node.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  CHECK_EQUAL(1, node.Take<LeaveGroup>().size());
  node.Follow(4);
  CHECK(node.mState.mPhase == OwnerPhase::Member);
  node.Pass(node.mState.mSettings.DrainTime() + Time::FromMilliseconds(100));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
}

TEST(Entry, StoppingNodeIsNotReadyAndAnswersItsOpenCalls)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Call(1, JobCallKind::Submit, kJob);
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  CHECK(node.mState.mReady == false);
  node.Deliver(
    FromOwner::Create(
      { .mMessage =
          LinkMessage::Create(
            { .mBody =
                JobReply::Create({ .mCall = 1, .mOutcome = JobCallOutcome::Accepted }).value() })
            .value() })
      .value());
  CHECK(node.TakeVerdicts() == std::vector{ JobCallOutcome::Accepted });
}

TEST(Entry, CallThatComesAfterTheLastDecisionIsRefusedAndNotLeftWithoutAnAnswer)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  node.Pass(node.mState.mSettings.DrainTime() + Time::FromMilliseconds(100));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
  node.Call(1, JobCallKind::Submit, kJob);
  CHECK(node.TakeVerdicts() == std::vector{ JobCallOutcome::Refused });
}

TEST(Entry, SettingsThatWereReadAgainAreInForceButForWhatNamesTheProcess)
{
  EntryFixture node;
  node.Configure();
  node.Own(3);
  const auto before = node.mState.mSettings;
  const auto cell = before.Cell().WithRemoteSlowdown(3);
  node.Deliver(SettingsRead::Create(
                 { .mSettings = before.WithCell(cell).WithNode("other").WithIncarnation(99) })
                 .value());
  CHECK(node.mState.mSettings == before.WithCell(cell));
  CHECK(node.mState.mCell->mSettings == cell);
  node.Deliver(SettingsRead::Create({ .mSettings = before, .mError = "not JSON" }).value());
  CHECK(node.mState.mSettings == before.WithCell(cell));
}

TEST(Entry, SilentOwnerIsLinkedAnew)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Follow(3);
  node.Take<ConnectToOwner>();
  node.Pass(node.mState.mSettings.LinkTimeout() + Time::FromMilliseconds(100));
  CHECK(!node.Take<ConnectToOwner>().empty());
}

TEST(Entry, OwnerTellsMembersThatItLostTheStore)
{
  EntryFixture node;
  node.Configure();
  node.Own(3);
  node.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  node.Call(1, JobCallKind::Submit, kJob);
  node.Take<SendToMember>();
  node.Deliver(
    CellAppended::Create({ .mEpoch = 3, .mSequence = 1, .mOutcome = StoreOutcome::Unanswered })
      .value());
  node.Pass(Time::FromSeconds(1));
  const auto told = node.Take<SendToMember>();
  CHECK(std::any_of(told.begin(), told.end(), [](const SendToMember& aEffect) {
    const auto* beat = std::get_if<LinkHeartbeat>(&aEffect.Message().Body());
    return beat != nullptr && beat->StoreLost();
  }));
}
