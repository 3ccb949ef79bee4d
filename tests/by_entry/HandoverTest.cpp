#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_cell/detail/Runs.h"
#include "by_entry/EntryFixture.h"

using namespace by;

namespace {

constexpr std::uint32_t kSmall = 120;
constexpr std::uint32_t kMedium = 200;
constexpr std::uint32_t kLarge = 500;
constexpr Time kLinked = Time::FromMilliseconds(1100);

/// A small owner of the cell with linked members.
struct SmallOwner : EntryFixture
{
  SmallOwner()
  {
    mState.mSettings = mState.mSettings.WithProcessorShare(kSmall);
    Configure();
    BecomeOwner(3);
  }

  void Link(const std::string& aNode, std::uint32_t aShare)
  {
    Deliver(MemberChanged::Create({ .mNode = aNode, .mUp = true }).value());
    Deliver(
      FromMember::Create(
        { .mNode = aNode,
          .mMessage =
            LinkMessage::Create(
              { .mBody = LinkHello::Create({ .mNode = aNode, .mProcessorShare = aShare }).value() })
              .value(),
          .mReceived = mNow })
        .value());
  }

  /// @returns the successors that members were told of since the last call, one for each message.
  std::vector<std::string> TakeSuccessors()
  {
    std::vector<std::string> successors;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* leaving = std::get_if<OwnerLeaving>(&sent.Message().Body())) {
        successors.push_back(leaving->Successor());
      }
    }
    return successors;
  }
};

/// A member of the owner n2 with the epoch 3.
struct Member : EntryFixture
{
  explicit Member(std::uint32_t aShare, bool aElected = false)
  {
    mState.mSettings = mState.mSettings.WithProcessorShare(aShare);
    Configure();
    SetRemoteOwner(3);
    Join(aElected);
  }

  void AnnounceSuccessor(const std::string& aSuccessor)
  {
    Deliver(
      FromOwner::Create(
        { .mMessage =
            LinkMessage::Create(
              { .mBody = OwnerLeaving::Create({ .mEpoch = 3, .mSuccessor = aSuccessor }).value() })
              .value() })
        .value());
  }

  /// Delivers a heartbeat of the node that this one follows.
  void Beat(std::uint64_t aEpoch, bool aOwner)
  {
    Deliver(
      FromOwner::Create(
        { .mMessage =
            LinkMessage::Create(
              { .mBody = LinkHeartbeat::Create({ .mEpoch = aEpoch, .mOwner = aOwner }).value() })
              .value() })
        .value());
  }

  /// Advances the time while the owner keeps sending heartbeats.
  void AdvanceWithOwner(Time aTime)
  {
    for (const auto until = mNow + aTime; mNow < until;) {
      Advance(Time::FromMilliseconds(100));
      Beat(3, true);
    }
  }
};

} // namespace

/// An elected node with 0.12 cores kept a cell of 350 workers that it could not serve, beside
/// members with 0.5 cores.
TEST_GROUP(Handover){};

TEST(Handover, SmallOwnerNamesItsLargestMemberOnceItIsSteady)
{
  SmallOwner owner;
  owner.Link("m1", kMedium);
  owner.Link("m2", kLarge);
  owner.Advance(Time::FromMilliseconds(500));
  CHECK(owner.TakeSuccessors().empty());
  owner.Advance(kLinked);
  CHECK(owner.TakeSuccessors() == (std::vector<std::string>{ "m2", "m2" }));
  CHECK(owner.mState.mPhase == OwnerPhase::Owner);
}

TEST(Handover, HeartbeatsTellTheLargestShareOfTheMembers)
{
  SmallOwner owner;
  const auto largestTold = [&] {
    owner.Deliver(
      FromMember::Create(
        { .mNode = "m1", .mMessage = LinkMessage::Create({ .mBody = LinkHeartbeat() }).value() })
        .value());
    const auto sent = owner.Take<SendToMember>();
    return std::get<LinkHeartbeat>(sent.back().Message().Body()).LargestShare();
  };
  owner.Link("m1", kMedium);
  owner.Link("m2", kLarge);
  CHECK(largestTold() == kLarge);
  owner.Deliver(MemberChanged::Create({ .mNode = "m2", .mUp = false }).value());
  CHECK(largestTold() == kMedium);
}

TEST(Handover, OwnerKeepsTheCellFromSlightlyLargerMembers)
{
  SmallOwner owner;
  owner.Link("m1", 2 * kSmall);
  owner.Advance(kLinked);
  CHECK(owner.TakeSuccessors().empty());
}

TEST(Handover, OwnerServesUntilItSeesTheClaimOfTheSuccessor)
{
  SmallOwner owner;
  owner.Link("m2", kLarge);
  owner.Advance(kLinked);
  owner.SendCall(1, JobCallKind::Submit, "/q/0123456789abcdef");
  owner.Advance(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, owner.Take<AppendToCell>().size());
  owner.SetRemoteOwner(4, "m2");
  CHECK(owner.mState.mPhase == OwnerPhase::Member);
  const auto sent = owner.Take<SendToOwner>();
  CHECK(std::any_of(sent.begin(), sent.end(), [](const SendToOwner& aEffect) {
    return std::holds_alternative<CellRequest>(aEffect.Message().Body());
  }));
  CHECK(owner.TakeOutcomes().empty());
}

TEST(Handover, HandoverWithoutAClaimIsWithdrawnAndNotRepeatedSoon)
{
  SmallOwner owner;
  owner.Link("m2", kLarge);
  owner.mState.mSettings = owner.mState.mSettings.WithLinkTimeout(Time::FromSeconds(60));
  owner.Advance(kLinked);
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "m2" });
  owner.Advance(Time::FromMilliseconds(1100));
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "n1" });
  owner.Advance(Time::FromMilliseconds(3700));
  CHECK(owner.TakeSuccessors().empty());
  owner.Advance(Time::FromMilliseconds(300));
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "m2" });
}

TEST(Handover, MemberThatFailedToClaimIsNotNamedAgainBesideAnother)
{
  SmallOwner owner;
  owner.mState.mSettings = owner.mState.mSettings.WithLinkTimeout(Time::FromSeconds(60));
  owner.Link("m2", kLarge);
  owner.Link("m3", kLarge - 1);
  owner.Advance(Time::FromMilliseconds(2500));
  owner.TakeSuccessors();
  owner.Advance(Time::FromSeconds(4));
  CHECK(owner.TakeSuccessors() == (std::vector<std::string>{ "m3", "m3" }));
}

TEST(Handover, LostSuccessorEndsTheHandoverAtOnce)
{
  SmallOwner owner;
  owner.Link("m1", kSmall);
  owner.Link("m2", kLarge);
  owner.Advance(kLinked);
  owner.TakeSuccessors();
  owner.Deliver(MemberChanged::Create({ .mNode = "m2", .mUp = false }).value());
  owner.Advance(Time::FromMilliseconds(50));
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "n1" });
}

TEST(Handover, OwnerThatStopsOrHasLostTheStoreNamesNoSuccessor)
{
  SmallOwner owner;
  owner.Link("m2", kLarge);
  owner.mState.mCell->mStoreLostAt = owner.mNow;
  owner.Advance(kLinked);
  CHECK(owner.TakeSuccessors().empty());
  owner.mState.mCell->mStoreLostAt = Time::Never();
  owner.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "" });
  owner.Advance(kLinked);
  CHECK(owner.TakeSuccessors().empty());
}

TEST(Handover, SuccessorClaimsAtOnceWithoutAnElection)
{
  Member member(kLarge);
  member.AnnounceSuccessor("n1");
  CHECK_EQUAL(1, member.Take<ReadClaim>().size());
}

TEST(Handover, OtherMembersWaitForTheSuccessorEvenIfElected)
{
  Member member(kLarge, true);
  member.AnnounceSuccessor("n5");
  member.AdvanceWithOwner(Time::FromMilliseconds(1400));
  CHECK(member.Take<ReadClaim>().empty());
  member.AdvanceWithOwner(Time::FromMilliseconds(200));
  CHECK_EQUAL(1, member.Take<ReadClaim>().size());
}

TEST(Handover, WithdrawnHandoverLeavesTheOwnerInPlace)
{
  Member member(kLarge, true);
  member.AnnounceSuccessor("n5");
  member.AdvanceWithOwner(Time::FromMilliseconds(1000));
  member.AnnounceSuccessor("n2");
  member.AdvanceWithOwner(Time::FromSeconds(3));
  CHECK(member.Take<ReadClaim>().empty());
}

/// The elected node claimed the cell again while the successor was still loading it.
TEST(Handover, SuccessorIsGivenTimeToLoadTheCell)
{
  Member member(kSmall, true);
  member.AnnounceSuccessor("n5");
  member.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done,
                        .mClaim = CellClaim::Create({ .mEpoch = 4,
                                                      .mNode = "n5",
                                                      .mIncarnation = 9,
                                                      .mLink = member.mState.mOwner->Link() })
                                    .value(),
                        .mEnd = 4 })
      .value());
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = true }).value());
  member.Advance(Time::FromMilliseconds(1000));
  CHECK(member.Take<ReadClaim>().empty());
  member.Beat(4, false);
  member.Advance(Time::FromMilliseconds(600));
  CHECK_EQUAL(1, member.Take<ReadClaim>().size());
}

TEST(Handover, SmallNodeLeavesAReleasedCellToLargerNodes)
{
  Member small(kSmall);
  Member large(kLarge);
  small.AnnounceSuccessor("");
  large.AnnounceSuccessor("");
  large.Advance(Time::FromMilliseconds(50));
  small.Advance(Time::FromMilliseconds(150));
  CHECK_EQUAL(1, large.Take<ReadClaim>().size());
  CHECK(small.Take<ReadClaim>().empty());
  small.Advance(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, small.Take<ReadClaim>().size());
}

TEST(Handover, SmallElectedNodeClaimsAtOnceIfTheOwnerIsDead)
{
  Member member(kSmall, true);
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = false, .mRefused = true })
      .value());
  member.Advance(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, member.Take<ReadClaim>().size());
}

/// Two nodes claimed the cell at one planned stop: the elected one took it from the other, which
/// already worked.
TEST(Handover, ElectedNodeDoesNotClaimFromANodeThatClaimedMeanwhile)
{
  Member member(kLarge, true);
  member.AnnounceSuccessor("");
  CHECK_EQUAL(1, member.Take<ReadClaim>().size());
  member.SetRemoteOwner(4, "n5");
  CHECK(member.Take<WriteClaim>().empty());
  CHECK(member.mState.mPhase == OwnerPhase::Member);
}

/// An owner that was not elected stopped renewing the leases of its workers once it had nothing to
/// store for 5 s, since only the group's answer confirmed it.
TEST(Handover, OwnerThatIsNotElectedIsConfirmedByItsClaim)
{
  EntryFixture owner;
  owner.Configure();
  owner.BecomeOwner(3);
  owner.Join(false);
  owner.Take<ReadClaim>();
  owner.Advance(Time::FromMilliseconds(1050));
  CHECK_EQUAL(1, owner.Take<ReadClaim>().size());
  const auto confirmedAt = owner.mState.mCell->mConfirmedAt;
  const auto claim =
    CellClaim::Create(
      { .mEpoch = 3, .mNode = "n1", .mIncarnation = 1, .mLink = owner.mState.mSettings.Link() })
      .value();
  owner.Advance(Time::FromMilliseconds(100));
  // A claim that the store reports by itself may be older than the read.
  owner.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 0 }).value());
  CHECK(owner.mState.mCell->mConfirmedAt == confirmedAt);
  owner.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 3 }).value());
  CHECK(owner.mState.mCell->mConfirmedAt == confirmedAt + Time::FromMilliseconds(1000));
}

/// An elected owner whose claim another node had replaced, and that did not read the claims,
/// granted leases for as long as the group answered. The next owner takes them for expired after
/// AuthorityTimeout(), and starts the tasks of a worker that it can't reach a second time.
TEST(Handover, ElectionDoesNotExtendTheAuthorityOfAnOwner)
{
  EntryFixture owner;
  owner.Configure();
  owner.BecomeOwner(3);
  const auto timeout = owner.mState.mCell->mSettings.AuthorityTimeout();
  const auto until = owner.mNow + timeout;
  while (owner.mNow < until) {
    owner.Advance(Time::FromMilliseconds(300));
    owner.Join(true);
  }
  CHECK_FALSE(detail::MayGrantLeases(*owner.mState.mCell, owner.mNow));
}

/// Guards the number of calls to the store: an owner without appends reads its claim once a second.
TEST(Handover, OwnerWithoutAppendsReadsItsClaimOnceASecond)
{
  EntryFixture owner;
  owner.Configure();
  owner.BecomeOwner(3);
  owner.Take<ReadClaim>();
  const auto claim =
    CellClaim::Create(
      { .mEpoch = 3, .mNode = "n1", .mIncarnation = 1, .mLink = owner.mState.mSettings.Link() })
      .value();
  std::size_t reads = 0;
  for (int i = 0; i < 10; ++i) {
    owner.Advance(Time::FromMilliseconds(300));
    owner.Join(true);
    for (const auto& read : owner.Take<ReadClaim>()) {
      ++reads;
      CHECK(read.Number() > 0);
      owner.Deliver(
        ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = claim, .mEnd = 3 }).value());
    }
  }
  CHECK(detail::MayGrantLeases(*owner.mState.mCell, owner.mNow));
  CHECK_EQUAL(3, reads);
}

/// A member that linked after the stop had begun kept the leaving owner until its link broke.
TEST(Handover, StoppingOwnerTellsMembersThatLinkLater)
{
  SmallOwner owner;
  owner.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  owner.Link("m2", kLarge);
  CHECK(owner.TakeSuccessors() == std::vector<std::string>{ "" });
}

TEST(Handover, NodeThatStopsWhileItLoadsTheCellAnnouncesThatItLeaves)
{
  SmallOwner node;
  node.Link("m2", kLarge);
  node.mState.mPhase = OwnerPhase::Loading;
  node.mState.mCell.reset();
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  node.TakeSuccessors();
  node.Deliver(CellLoaded::Create({ .mOutcome = StoreOutcome::Done, .mEpoch = 3 }).value());
  CHECK(node.mState.mPhase == OwnerPhase::Owner);
  CHECK(node.TakeSuccessors() == std::vector<std::string>{ "" });
}

TEST(Handover, NodeThatStopsBeforeItWritesItsClaimWritesNone)
{
  EntryFixture node;
  node.Configure();
  node.Join(true);
  CHECK_EQUAL(1, node.Take<ReadClaim>().size());
  node.Deliver(StopRequested::Create({ .mGrace = Time::FromSeconds(6) }).value());
  node.Deliver(ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mEnd = 0 }).value());
  CHECK(node.Take<WriteClaim>().empty());
}
