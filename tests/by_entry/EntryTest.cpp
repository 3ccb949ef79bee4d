#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr const char* kJobPath = "/q/0123456789abcdef";

bool
ContainsRequest(const std::vector<SendToOwner>& aSent)
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
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
  CHECK(node.mState.mReady == false);
  node.Configure();
  CHECK(node.mState.mReady == true);
}

TEST(Entry, PathOutsideAllQueuesIsUnknown)
{
  EntryFixture node;
  node.Configure();
  node.SendCall(1, JobCallKind::Submit, "/other/0123456789abcdef");
  node.SendCall(2, JobCallKind::Submit, "/q/short");
  CHECK(node.TakeOutcomes() ==
        (std::vector{ JobCallOutcome::UnknownQueue, JobCallOutcome::UnknownQueue }));
}

TEST(Entry, OlderConfigurationDoesNotReplaceANewerOne)
{
  EntryFixture node;
  node.Configure(5);
  node.Configure(4);
  CHECK_EQUAL(5, node.mState.mConfig->Version());
}

TEST(Entry, RequestIsForwardedToTheOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK(ContainsRequest(node.Take<SendToOwner>()));
  CHECK(node.TakeOutcomes().empty());
}

TEST(Entry, RequestWithoutAnOwnerIsRefusedAfterABoundedWait)
{
  EntryFixture node;
  node.Configure();
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK(node.TakeOutcomes().empty());
  node.Advance(node.mState.mSettings.OwnerWait() + Time::FromMilliseconds(100));
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
}

// The owner left during an outage of the store, and no node could claim the cell. Callers were held
// until their deadline passed instead of being told at once to come back.
TEST(Entry, RequestWithoutAnOwnerAndAStoreIsRefusedAtOnce)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Unanswered }).value());
  node.Advance(Time::FromMilliseconds(400));
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  node.Advance(Time::FromMilliseconds(50));
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
}

TEST(Entry, ForwardedSubmissionIsNeverReportedAsNotRun)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  node.Deliver(LinkChanged::Create({ .mPeer = node.mState.mOwner->Link(), .mUp = false }).value());
  node.Advance(Time::FromSeconds(3));
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Uncertain });
}

TEST(Entry, RequestIsForwardedToTheNextOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  node.Take<SendToOwner>();
  node.SetRemoteOwner(4, "n3");
  CHECK(ContainsRequest(node.Take<SendToOwner>()));
  CHECK(node.TakeOutcomes().empty());
}

TEST(Entry, ElectedNodeClaimsACellWithoutAnOwner)
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

TEST(Entry, ElectedNodeDoesNotClaimFromAnActiveOwner)
{
  // The group holds a new election whenever a node joins or leaves.
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(true);
  node.Advance(Time::FromMilliseconds(400));
  CHECK(node.Take<ReadClaim>().empty());
}

TEST(Entry, AnyNodeClaimsFromALeavingOwner)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.Deliver(
    FromOwner::Create(
      { .mMessage =
          LinkMessage::Create({ .mBody = OwnerLeaving::Create({ .mEpoch = 3 }).value() }).value() })
      .value());
  node.Advance(Time::FromMilliseconds(200));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, NodeThatOnlyLostItsLinkWaitsForItsElection)
{
  // Otherwise nodes that cannot reach each other would claim the cell from each other.
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.Deliver(LinkChanged::Create({ .mPeer = node.mState.mOwner->Link(), .mUp = false }).value());
  node.Advance(Time::FromSeconds(2));
  CHECK(node.Take<ReadClaim>().empty());
  node.Join(true);
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, UnansweredClaimIsResolvedByReadingIt)
{
  EntryFixture node;
  node.Configure();
  node.Join(true);
  node.Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = 0 }).value());
  const auto claim = node.Take<WriteClaim>().front().Claim();
  node.Take<ReadClaim>();
  node.Deliver(
    ClaimWritten::Create({ .mOutcome = StoreOutcome::Unanswered, .mClaim = claim }).value());
  node.Advance(Time::FromMilliseconds(200));
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
  node.BecomeOwner(3);
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  node.SetRemoteOwner(4);
  CHECK(node.mState.mPhase == OwnerPhase::Member);
  CHECK(!node.mState.mCell);
}

TEST(Entry, OwnerKeepsTheCellWhenAnotherNodeIsElected)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
  node.Join(false);
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
}

TEST(Entry, StoppingOwnerKeepsTheCellUntilAnotherNodeClaimsIt)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
  node.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  CHECK_EQUAL(1, node.Take<LeaveGroup>().size());
  node.SetRemoteOwner(4);
  CHECK(node.mState.mPhase == OwnerPhase::Member);
  node.Advance(node.mState.mSettings.DrainTime() + Time::FromMilliseconds(100));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
}

// The owner stepped down 2 s after a SIGTERM although no node could claim the cell without the
// store, so that nobody renewed the leases of running tasks, and they expired.
TEST(Entry, StoppingOwnerStaysWhileNoNodeCanClaimTheCell)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  node.Deliver(
    CellAppended::Create({ .mEpoch = 3, .mSequence = 1, .mOutcome = StoreOutcome::Unanswered })
      .value());
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  node.Advance(Time::FromMilliseconds(4000));
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  node.Advance(Time::FromMilliseconds(1500));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
}

TEST(Entry, StoppingNodeIsNotReadyAndAnswersItsOpenCalls)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
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
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Accepted });
}

TEST(Entry, CallThatArrivesAfterTheExitDecisionIsRefused)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  node.Advance(node.mState.mSettings.DrainTime() + Time::FromMilliseconds(100));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Refused });
}

// Callers keep using their open connections until the process is gone, so that at the end of the
// grace time some requests have just been read. Without an owner they were still waiting for one,
// and the process exited without an answer to them.
TEST(Entry, CallsOpenAtTheEndOfTheGraceTimeAreAnswered)
{
  EntryFixture node;
  node.Configure();
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  constexpr std::uint64_t kCalls = 13;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    node.SendCall(call, JobCallKind::Submit, kJobPath);
    node.Advance(Time::FromMilliseconds(400));
  }
  CHECK(node.Take<ExitEntry>().empty());
  node.Advance(Time::FromMilliseconds(150));
  CHECK_EQUAL(1, node.Take<ExitEntry>().size());
  CHECK(node.TakeOutcomes() == std::vector(kCalls, JobCallOutcome::Refused));
}

TEST(Entry, ReloadedSettingsApplyExceptTheProcessIdentity)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
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

// A link that was accepted and then reset was opened again at once, each time, so that members
// whose links were all reset opened thousands of them a second and logged each.
TEST(Entry, LinkThatIsResetAtOnceIsReopenedAfterADelay)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  const auto owner = node.mState.mOwner->Link();
  const auto flap = [&] {
    node.Deliver(LinkChanged::Create({ .mPeer = owner, .mUp = true }).value());
    node.Deliver(LinkChanged::Create({ .mPeer = owner, .mUp = false }).value());
  };
  node.Advance(Time::FromSeconds(1));
  node.Take<ConnectToOwner>();
  node.Deliver(LinkChanged::Create({ .mPeer = owner, .mUp = false }).value());
  CHECK(node.Take<ConnectToOwner>().size() == 1);
  flap();
  flap();
  CHECK(node.Take<ConnectToOwner>().empty());
  node.Advance(Time::FromMilliseconds(250));
  CHECK(node.Take<ConnectToOwner>().size() == 1);
}

TEST(Entry, LinkToASilentOwnerIsReopened)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.SetRemoteOwner(3);
  node.Take<ConnectToOwner>();
  node.Advance(node.mState.mSettings.LinkTimeout() + Time::FromMilliseconds(100));
  CHECK(!node.Take<ConnectToOwner>().empty());
}

// An error while a table of the cell was read ended the owner's process, and each successor that
// met the same entry.
TEST(Entry, OwnerWithAnInconsistentCellLoadsItAgain)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  auto& cell = *node.mState.mCell;
  ReadyKey missing;
  missing.mJob = cell.mJobs.begin()->first;
  missing.mOccurrence = 99;
  cell.mReady.insert(missing);
  cell.mPlacementNeeded = true;
  node.Advance(Time::FromMilliseconds(100));
  const auto lines = node.Take<LogLine>();
  CHECK(std::any_of(lines.begin(), lines.end(), [](const LogLine& aLine) {
    return aLine.Event() == "event.failed";
  }));
  CHECK(node.mState.mPhase != OwnerPhase::Owner);
  CHECK(node.TakeOutcomes().empty());
  node.Advance(Time::FromSeconds(3));
  CHECK(node.TakeOutcomes() == std::vector{ JobCallOutcome::Uncertain });
}

TEST(Entry, OwnerNotifiesMembersOfStoreLoss)
{
  EntryFixture node;
  node.Configure();
  node.BecomeOwner(3);
  node.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  node.SendCall(1, JobCallKind::Submit, kJobPath);
  node.Take<SendToMember>();
  node.Deliver(
    CellAppended::Create({ .mEpoch = 3, .mSequence = 1, .mOutcome = StoreOutcome::Unanswered })
      .value());
  node.Advance(Time::FromSeconds(1));
  const auto messages = node.Take<SendToMember>();
  CHECK(std::any_of(messages.begin(), messages.end(), [](const SendToMember& aEffect) {
    const auto* heartbeat = std::get_if<LinkHeartbeat>(&aEffect.Message().Body());
    return heartbeat != nullptr && heartbeat->StoreLost();
  }));
}

// After an outage of the store for all nodes the elected node claimed the cell at once, although
// its owner regained the store within a tenth of a second. The takeover cost two seconds.
TEST(Entry, OwnerMayRegainTheStoreBeforeAnotherNodeClaims)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(true);
  node.Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Unanswered }).value());
  auto lost = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true, .mStoreLost = true }).value();
  node.Deliver(
    FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = lost }).value() }).value());
  node.Join(true);
  node.Advance(Time::FromMilliseconds(400));
  CHECK(node.Take<ReadClaim>().empty());
  node.Advance(Time::FromMilliseconds(200));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

// All nodes of a fleet tried to claim the cell during an outage of the whole store, each with reads
// that had a time limit of 2 s, so that the first of them noticed the return late.
TEST(Entry, NodeWithoutTheStoreDoesNotTryToClaim)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(true);
  auto lost = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true, .mStoreLost = true }).value();
  for (int n = 0; n < 20; ++n) {
    node.Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Unanswered }).value());
    node.Deliver(
      FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = lost }).value() }).value());
    node.Advance(Time::FromMilliseconds(100));
  }
  CHECK(node.Take<ReadClaim>().empty());
  node.Join(true);
  node.Advance(Time::FromMilliseconds(600));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, NodeThatReachesTheStoreClaimsAtOnceFromAnOwnerThatDoesNot)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(true);
  auto lost = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true, .mStoreLost = true }).value();
  node.Deliver(
    FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = lost }).value() }).value());
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

// After all processes had been killed the cell had no owner until the memberships of the earlier
// processes had expired, although the node that had owned it was back.
TEST(Entry, NodeWhoseEarlierProcessOwnedTheCellClaimsItAtOnce)
{
  EntryFixture node("n1");
  node.Configure();
  node.Join(false);
  node.Take<ReadClaim>();
  auto claim = CellClaim::Create({ .mEpoch = 3, .mNode = "n1", .mIncarnation = 9 }).value();
  node.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 3 }).value());
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

// The node read the claim, found that it was not elected, and began again, 150 times a second,
// until another node was elected after 1.7 s.
TEST(Entry, NodeWhoseEarlierProcessOwnedTheCellWritesItsClaimWithoutAnElection)
{
  EntryFixture node("n1");
  node.Configure();
  node.Join(false);
  auto claim = CellClaim::Create({ .mEpoch = 3, .mNode = "n1", .mIncarnation = 9 }).value();
  const auto read =
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 3 }).value();
  node.Deliver(read);
  node.Take<ReadClaim>();
  node.Deliver(read);
  const auto writes = node.Take<WriteClaim>();
  CHECK_EQUAL(1, writes.size());
  CHECK_EQUAL(4, writes.front().Claim().Epoch());
  CHECK(node.Take<ReadClaim>().empty());
}

TEST(Entry, NewlyElectedNodeClaimsFromAnOwnerWhoseHeartbeatsAreMissing)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(false);
  node.Advance(Time::FromMilliseconds(900));
  CHECK(node.Take<ReadClaim>().empty());
  node.Join(true);
  node.Advance(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
}

TEST(Entry, NodeThatHasLongBeenElectedDoesNotClaimForASilentLink)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(3);
  node.Join(true);
  for (int i = 0; i < 8; ++i) {
    node.Advance(Time::FromMilliseconds(250));
    auto heartbeat = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true }).value();
    node.Deliver(
      FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = heartbeat }).value() })
        .value());
  }
  node.Advance(Time::FromMilliseconds(1300));
  CHECK(node.Take<ReadClaim>().empty());
}

// An old heartbeat that still lay in the queue made a new owner look as if it had lost the store,
// and another node claimed the cell from it.
TEST(Entry, HeartbeatOfAnEarlierOwnerSaysNothingOfTheNewOne)
{
  EntryFixture node;
  node.Configure();
  node.SetRemoteOwner(4);
  node.Join(true);
  auto lost = LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true, .mStoreLost = true }).value();
  node.Deliver(
    FromOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = lost }).value() }).value());
  CHECK(node.Take<ReadClaim>().empty());
  CHECK(!node.mState.mOwnerLostStore);
}

// A hundred nodes that try to join ten times a second wrote a thousand lines a second during an
// outage of the store.
TEST(Entry, ExpiredMembershipIsLoggedOnce)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  int lines = 0;
  for (int n = 0; n < 40; ++n) {
    node.Advance(Time::FromMilliseconds(150));
    node.Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Refused }).value());
    for (const auto& line : node.Take<LogLine>()) {
      lines += line.Event() == "group.lost" ? 1 : 0;
    }
  }
  CHECK_EQUAL(1, lines);
}

TEST(Entry, FailedJoinIsNotRepeatedAtOnce)
{
  EntryFixture node;
  node.Configure();
  node.Join(false);
  node.Advance(Time::FromMilliseconds(350));
  node.Take<JoinGroup>();
  node.Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Refused }).value());
  CHECK(node.Take<JoinGroup>().empty());
  node.Advance(Time::FromMilliseconds(150));
  CHECK_EQUAL(1, node.Take<JoinGroup>().size());
}
