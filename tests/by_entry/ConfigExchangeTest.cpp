#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_entry/EntryFixture.h"
#include "by_entry/KeyedConfig.h"

using namespace by;

namespace {

constexpr Time kStep = Time::FromMilliseconds(250);
constexpr Time kTrust = Time::FromMilliseconds(5000);

LinkMessage
MessageOf(auto aBody)
{
  return LinkMessage::Create({ .mBody = std::move(aBody) }).value();
}

/// A node whose configuration, version 1, has the team red with the key "red-key-1".
struct KeyedNode : EntryFixture
{
  KeyedNode() { Deliver(KeyedConfig(1, { "red-key-1" })); }

  /// Makes a call.
  /// @returns its outcome; empty if the call was handed to the owner.
  std::optional<JobCallOutcome> Call(const std::string& aKey)
  {
    TakeOutcomes();
    Deliver(KeyedCall(++mCall, aKey));
    const auto outcomes = TakeOutcomes();
    return outcomes.empty() ? std::nullopt : std::optional(outcomes.front());
  }

  /// Delivers the store's refusal to renew the membership.
  void LoseStore()
  {
    Deliver(GroupJoined::Create({ .mOutcome = StoreOutcome::Refused, .mSent = mNow }).value());
  }

  /// @returns the messages of one type to members since the last call, with the members' names.
  template<class Body>
  std::vector<std::pair<std::string, Body>> TakeToMembers()
  {
    std::vector<std::pair<std::string, Body>> bodies;
    for (const auto& sent : Take<SendToMember>()) {
      if (const auto* body = std::get_if<Body>(&sent.Message().Body())) {
        bodies.emplace_back(sent.Node(), *body);
      }
    }
    return bodies;
  }

  /// @returns whether a log line of an event was written since the last call.
  bool HasLogged(const std::string& aEvent)
  {
    const auto lines = Take<LogLine>();
    return std::any_of(
      lines.begin(), lines.end(), [&](const LogLine& aLine) { return aLine.Event() == aEvent; });
  }

  std::uint64_t mCall{ 0 };
};

/// A member of the owner n2 with the epoch 3.
struct KeyedMember : KeyedNode
{
  KeyedMember()
  {
    Join(false);
    SetRemoteOwner(3);
  }

  /// Delivers the owner's heartbeat.
  void Beat(std::uint64_t aVersion, Time aAge = {}, bool aStoreLost = false)
  {
    FromOwnerOf(LinkHeartbeat::Create({ .mEpoch = 3,
                                        .mOwner = true,
                                        .mStoreLost = aStoreLost,
                                        .mConfigVersion = aVersion,
                                        .mConfigAge = aAge })
                  .value());
  }
  template<class Body>
  void FromOwnerOf(Body aBody)
  {
    Deliver(FromOwner::Create({ .mMessage = MessageOf(std::move(aBody)) }).value());
  }

  /// Lets time pass while the store turns the node away and the owner sends heartbeats.
  void PassWithoutStore(Time aTime, std::uint64_t aOwnerVersion, Time aOwnerAge = {})
  {
    for (const auto until = mNow + aTime; mNow < until;) {
      Advance(kStep);
      LoseStore();
      Beat(aOwnerVersion, aOwnerAge);
    }
  }
  /// Lets time pass while the store renews the membership and the owner sends heartbeats.
  void PassWithStore(Time aTime, std::uint64_t aOwnerVersion)
  {
    for (const auto until = mNow + aTime; mNow < until;) {
      Advance(kStep);
      Join(false);
      Beat(aOwnerVersion);
    }
  }

  /// @returns the messages of one type to the owner since the last call.
  template<class Body>
  std::vector<Body> TakeToOwner()
  {
    std::vector<Body> bodies;
    for (const auto& sent : Take<SendToOwner>()) {
      if (const auto* body = std::get_if<Body>(&sent.Message().Body())) {
        bodies.push_back(*body);
      }
    }
    return bodies;
  }
};

/// The owner n1 with linked members.
struct KeyedOwner : KeyedNode
{
  explicit KeyedOwner(std::vector<std::string> aMembers = { "n2", "n3" })
  {
    BecomeOwner(3);
    for (const auto& node : aMembers) {
      Deliver(MemberChanged::Create({ .mNode = node, .mUp = true }).value());
    }
    mOut.clear();
  }

  template<class Body>
  void FromMemberOf(const std::string& aNode, Body aBody)
  {
    Deliver(
      FromMember::Create({ .mNode = aNode, .mMessage = MessageOf(std::move(aBody)) }).value());
  }
  void Ask(const std::string& aNode, std::uint64_t aKnown)
  {
    FromMemberOf(aNode, ConfigRequest::Create({ .mKnownVersion = aKnown }).value());
  }
  void MemberBeat(const std::string& aNode, std::uint64_t aVersion)
  {
    FromMemberOf(aNode, LinkHeartbeat::Create({ .mEpoch = 3, .mConfigVersion = aVersion }).value());
  }
};

/// An owner and a member that really exchange their messages.
struct LinkedPair
{
  /// Lets time pass.
  /// @param aOwnerHasStore whether the store renews the owner's membership.
  /// @param aMemberHasStore whether it renews the member's.
  void Pass(Time aTime, bool aOwnerHasStore, bool aMemberHasStore)
  {
    for (const auto until = mOwner.mNow + aTime; mOwner.mNow < until;) {
      mOwner.Advance(Time::FromMilliseconds(100));
      mMember.Advance(Time::FromMilliseconds(100));
      aOwnerHasStore ? mOwner.Join(true) : mOwner.LoseStore();
      aMemberHasStore ? mMember.Join(false) : mMember.LoseStore();
      for (const auto& sent : mMember.Take<SendToOwner>()) {
        mOwner.Deliver(FromMember::Create({ .mNode = "n2", .mMessage = sent.Message() }).value());
      }
      for (const auto& sent : mOwner.Take<SendToMember>()) {
        mConfigs += std::holds_alternative<ClusterConfig>(sent.Message().Body()) ? 1 : 0;
        mMember.Deliver(FromOwner::Create({ .mMessage = sent.Message() }).value());
      }
    }
  }

  KeyedOwner mOwner{ { "n2" } };
  KeyedMember mMember;
  /// Configurations that the owner sent.
  int mConfigs{ 0 };
};

} // namespace

TEST_GROUP(ConfigExchange){};

/// Fails if a node that the store turns away serves a withdrawn key although the owner knows that
/// it is withdrawn.
TEST(ConfigExchange, ANodeWithoutTheStoreFetchesTheConfigurationFromTheOwner)
{
  KeyedMember member;
  member.LoseStore();
  member.Beat(2);
  member.Advance(Time::FromMilliseconds(250));
  CHECK(member.TakeToOwner<ConfigRequest>().empty());
  member.Advance(Time::FromMilliseconds(100));
  const auto requests = member.TakeToOwner<ConfigRequest>();
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(1, requests.front().KnownVersion());
  CHECK(member.Call("red-key-1") == std::nullopt);
  member.FromOwnerOf(KeyedConfig(2, { "red-key-2" }));
  CHECK(member.HasLogged("config.from_peer"));
  CHECK(member.Call("red-key-1") == JobCallOutcome::Unauthorized);
  CHECK(member.Call("red-key-2") == std::nullopt);
  member.PassWithoutStore(kTrust * 2, 2);
  CHECK(member.TakeToOwner<ConfigRequest>().empty());
  CHECK(member.Call("red-key-2") == std::nullopt);
}

/// Fails if each new version is sent to all members by the owner although the store delivers it.
TEST(ConfigExchange, NothingIsAskedForThatTheStoreDeliversInTime)
{
  KeyedMember member;
  member.Beat(2);
  member.Advance(Time::FromMilliseconds(250));
  member.Deliver(KeyedConfig(2, { "red-key-2" }));
  member.PassWithStore(Time::FromMilliseconds(3000), 2);
  CHECK(member.TakeToOwner<ConfigRequest>().empty());
  CHECK_FALSE(member.HasLogged("config.from_peer"));
}

/// Fails if a lost request leaves a node with the earlier version.
TEST(ConfigExchange, AnUnansweredRequestIsRepeated)
{
  KeyedMember member;
  member.Beat(2);
  member.PassWithStore(Time::FromMilliseconds(1000), 2);
  LONGS_EQUAL(1, member.TakeToOwner<ConfigRequest>().size());
  member.PassWithStore(Time::FromMilliseconds(1000), 2);
  LONGS_EQUAL(1, member.TakeToOwner<ConfigRequest>().size());
  // Over another link the request is repeated at once.
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = false }).value());
  member.Deliver(
    LinkChanged::Create({ .mPeer = member.mState.mOwner->Link(), .mUp = true }).value());
  member.Beat(2);
  member.Advance(Time::FromMilliseconds(50));
  LONGS_EQUAL(1, member.TakeToOwner<ConfigRequest>().size());
}

/// Fails if a key that a newer version may contain is refused for good, or if a key that it may
/// have withdrawn is served without end because the store renews the membership.
TEST(ConfigExchange, AHigherVersionThatCannotBeFetchedWithdrawsTheConfirmation)
{
  KeyedMember member;
  CHECK(member.Call("other-key") == JobCallOutcome::Unauthorized);
  member.Beat(2);
  CHECK(member.Call("other-key") == JobCallOutcome::Refused);
  member.PassWithStore(kTrust - kStep, 2);
  CHECK(member.Call("red-key-1") == std::nullopt);
  member.PassWithStore(kStep * 2, 2);
  CHECK(member.Call("red-key-1") == JobCallOutcome::Refused);
  CHECK(member.Call("other-key") == JobCallOutcome::Refused);
  member.Deliver(KeyedConfig(2, { "red-key-1" }));
  CHECK(member.Call("red-key-1") == std::nullopt);
  CHECK(member.Call("other-key") == JobCallOutcome::Unauthorized);
}

/// Fails if keys are served without end by a node that neither the store nor the owner answers, or
/// if a node that the owner confirms refuses its callers.
TEST(ConfigExchange, KeysAreTrustedWhileTheStoreOrTheOwnerConfirmsThem)
{
  KeyedMember member;
  member.Beat(1);
  member.PassWithoutStore(kTrust * 2, 1);
  CHECK(member.Call("red-key-1") == std::nullopt);
  CHECK(member.Call("other-key") == JobCallOutcome::Unauthorized);
  member.Advance(kTrust - kStep);
  member.LoseStore();
  CHECK(member.Call("red-key-1") == std::nullopt);
  CHECK(member.Call("other-key") == JobCallOutcome::Refused);
  member.Advance(kStep * 2);
  CHECK(member.Call("red-key-1") == JobCallOutcome::Refused);
  CHECK(member.Call("other-key") == JobCallOutcome::Refused);
}

/// Fails if an owner that has lost the store, or that the store has not confirmed for long, passes
/// its configuration off as the newest one. An owner without work notices the loss late.
TEST(ConfigExchange, AnOwnerConfirmsNoMoreThanTheStoreConfirmedToIt)
{
  KeyedMember member;
  member.PassWithoutStore(kTrust * 2, 1, kTrust * 2);
  CHECK(member.Call("red-key-1") == JobCallOutcome::Refused);
  member.Beat(1, {}, true);
  CHECK(member.Call("red-key-1") == JobCallOutcome::Refused);
  member.Beat(2);
  CHECK(member.Call("red-key-1") == JobCallOutcome::Refused);
  member.Beat(1, Time::FromMilliseconds(4000));
  CHECK(member.Call("other-key") == JobCallOutcome::Refused);
}

/// Fails if the heartbeats of an owner that the store no longer answers still confirm the
/// configuration of its members.
TEST(ConfigExchange, AnOwnerReportsTheAgeOfItsConfirmation)
{
  KeyedOwner owner;
  owner.Advance(Time::FromMilliseconds(3000));
  owner.TakeToMembers<LinkHeartbeat>();
  owner.MemberBeat("n2", 1);
  const auto beats = owner.TakeToMembers<LinkHeartbeat>();
  LONGS_EQUAL(1, beats.front().second.ConfigVersion());
  CHECK_EQUAL(3000, beats.front().second.ConfigAge().Milliseconds());
}

/// Fails if an owner that the store serves refuses its own callers because its membership was
/// renewed late, or if it serves them without the store.
TEST(ConfigExchange, AnOwnerIsConfirmedByItsCallsToTheStore)
{
  KeyedOwner owner;
  owner.Advance(kTrust - kStep);
  CHECK(owner.Call("red-key-1") != JobCallOutcome::Refused);
  const auto reads = owner.Take<ReadClaim>();
  CHECK_FALSE(reads.empty());
  owner.Deliver(
    ClaimRead::Create({ .mOutcome = StoreOutcome::Done, .mClaim = owner.mState.mOwner, .mEnd = 3 })
      .value());
  owner.Advance(kStep * 2);
  CHECK(owner.Call("red-key-1") != JobCallOutcome::Refused);
  owner.Advance(kTrust);
  CHECK(owner.Call("red-key-1") == JobCallOutcome::Refused);
}

/// Fails if the owner sends a configuration, which occupies its link, to nodes that have it, twice
/// over one link, or to many nodes at the same moment.
TEST(ConfigExchange, TheOwnerSendsAConfigurationOnceAndToOneMemberAfterAnother)
{
  KeyedOwner owner({ "n2", "n3", "n4", "n5" });
  owner.Deliver(KeyedConfig(2, { "red-key-2" }, 1400));
  owner.mOut.clear();
  owner.Ask("n2", 2);
  CHECK(owner.TakeToMembers<ClusterConfig>().empty());
  for (const auto* node : { "n2", "n3", "n4", "n5", "n2", "n3" }) {
    owner.Ask(node, 1);
  }
  auto sent = owner.TakeToMembers<ClusterConfig>();
  LONGS_EQUAL(1, sent.size());
  CHECK(sent.front().first == "n2");
  LONGS_EQUAL(2, sent.front().second.Version());
  // The store serves n3 before its turn.
  owner.MemberBeat("n3", 2);
  owner.Advance(Time::FromMilliseconds(150));
  CHECK(owner.TakeToMembers<ClusterConfig>().empty());
  owner.Advance(Time::FromMilliseconds(250));
  sent = owner.TakeToMembers<ClusterConfig>();
  LONGS_EQUAL(1, sent.size());
  CHECK(sent.front().first == "n4");
  owner.Advance(Time::FromMilliseconds(1000));
  sent = owner.TakeToMembers<ClusterConfig>();
  LONGS_EQUAL(1, sent.size());
  CHECK(sent.front().first == "n5");
  owner.Ask("n2", 1);
  CHECK(owner.TakeToMembers<ClusterConfig>().empty());
  // What was sent over an earlier link may not have arrived.
  owner.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  owner.Ask("n2", 1);
  LONGS_EQUAL(1, owner.TakeToMembers<ClusterConfig>().size());
}

/// Fails if an owner that the store turns away does not learn of withdrawn keys from its members,
/// or waits for one member without end.
TEST(ConfigExchange, AnOwnerFetchesTheConfigurationFromItsMembers)
{
  KeyedOwner owner;
  owner.MemberBeat("n2", 2);
  owner.MemberBeat("n3", 2);
  owner.Advance(Time::FromMilliseconds(1700));
  const auto requests = owner.TakeToMembers<ConfigRequest>();
  LONGS_EQUAL(2, requests.size());
  CHECK(requests[0].first != requests[1].first);
  owner.FromMemberOf("n3", KeyedConfig(2, { "red-key-2" }));
  CHECK(owner.HasLogged("config.from_peer"));
  LONGS_EQUAL(2, owner.mState.mConfig->Version());
  LONGS_EQUAL(2, owner.mState.mCell->mConfig.Version());
  CHECK(owner.Call("red-key-1") == JobCallOutcome::Unauthorized);
}

/// Fails if a member does not send the owner its higher version, or sends it the version that the
/// owner has.
TEST(ConfigExchange, AMemberAnswersTheOwner)
{
  KeyedMember member;
  member.FromOwnerOf(ConfigRequest::Create({ .mKnownVersion = 1 }).value());
  CHECK(member.TakeToOwner<ClusterConfig>().empty());
  member.Deliver(KeyedConfig(2, { "red-key-2" }));
  member.FromOwnerOf(ConfigRequest::Create({ .mKnownVersion = 1 }).value());
  const auto sent = member.TakeToOwner<ClusterConfig>();
  LONGS_EQUAL(1, sent.size());
  LONGS_EQUAL(2, sent.front().Version());
  member.Advance(Time::FromMilliseconds(1000));
  const auto beats = member.TakeToOwner<LinkHeartbeat>();
  CHECK_FALSE(beats.empty());
  LONGS_EQUAL(2, beats.back().ConfigVersion());
}

/// Fails if a node serves with an older version after a newer one, from whichever side it comes.
TEST(ConfigExchange, ANodeNeverGoesBackToAnOlderVersion)
{
  KeyedMember member;
  member.FromOwnerOf(KeyedConfig(3, { "red-key-3" }));
  member.Deliver(KeyedConfig(2, { "red-key-2" }));
  member.FromOwnerOf(KeyedConfig(2, { "red-key-2" }));
  member.FromOwnerOf(KeyedConfig(3, { "other-key" }));
  LONGS_EQUAL(3, member.mState.mConfig->Version());
  CHECK(member.Call("red-key-3") == std::nullopt);
  CHECK(member.Call("red-key-2") == JobCallOutcome::Unauthorized);
  CHECK(member.Call("other-key") == JobCallOutcome::Unauthorized);
}

/// Fails if nodes that get versions in different orders, some from each other, end up with
/// different ones.
TEST(ConfigExchange, NodesThatSeeConfigurationsInDifferentOrderEndWithTheSame)
{
  KeyedMember first;
  KeyedMember second;
  first.Deliver(KeyedConfig(3, { "red-key-3" }));
  first.FromOwnerOf(KeyedConfig(2, { "red-key-2" }));
  second.Beat(3);
  second.FromOwnerOf(KeyedConfig(2, { "red-key-2" }));
  // It is still behind, so it goes on asking.
  second.Advance(Time::FromMilliseconds(400));
  const auto requests = second.TakeToOwner<ConfigRequest>();
  LONGS_EQUAL(1, requests.size());
  LONGS_EQUAL(2, requests.front().KnownVersion());
  CHECK(second.Call("red-key-3") == JobCallOutcome::Refused);
  second.FromOwnerOf(KeyedConfig(3, { "red-key-3" }));
  CHECK(first.mState.mConfig == second.mState.mConfig);
  CHECK(first.mState.mKeys == second.mState.mKeys);
  CHECK(second.Call("red-key-3") == std::nullopt);
}

/// Fails if a deployment without teams pays for the exchange of keys.
TEST(ConfigExchange, NothingIsSentWithoutTeams)
{
  EntryFixture member;
  member.Configure(1);
  member.Join(false);
  member.SetRemoteOwner(3);
  member.Advance(Time::FromMilliseconds(1000));
  for (const auto& sent : member.Take<SendToOwner>()) {
    CHECK_FALSE(std::holds_alternative<ConfigRequest>(sent.Message().Body()));
    if (const auto* beat = std::get_if<LinkHeartbeat>(&sent.Message().Body())) {
      LONGS_EQUAL(0, beat->ConfigVersion());
    }
  }
  EntryFixture owner;
  owner.Configure(1);
  owner.BecomeOwner(3);
  owner.Deliver(MemberChanged::Create({ .mNode = "n2", .mUp = true }).value());
  owner.Configure(2);
  owner.Advance(Time::FromMilliseconds(1000));
  for (const auto& sent : owner.Take<SendToMember>()) {
    const auto* beat = std::get_if<LinkHeartbeat>(&sent.Message().Body());
    CHECK(beat != nullptr);
    LONGS_EQUAL(0, beat->ConfigVersion());
    CHECK(beat->ConfigAge() == Time());
  }
}

/// Fails if a node that has no teams yet, and can't read the first configuration with teams, serves
/// callers without keys on and on.
TEST(ConfigExchange, TheFirstConfigurationWithTeamsIsFetchedToo)
{
  EntryFixture member;
  member.Configure(1);
  member.Join(false);
  member.SetRemoteOwner(3);
  member.Deliver(
    FromOwner::Create(
      { .mMessage = MessageOf(
          LinkHeartbeat::Create({ .mEpoch = 3, .mOwner = true, .mConfigVersion = 2 }).value()) })
      .value());
  member.Advance(Time::FromMilliseconds(400));
  const auto sent = member.Take<SendToOwner>();
  CHECK(std::any_of(sent.begin(), sent.end(), [](const SendToOwner& aSent) {
    return std::holds_alternative<ConfigRequest>(aSent.Message().Body());
  }));
}

/// Fails if the messages of the two sides do not fit together: a withdrawn key is then served by
/// the side that the store turns away, or its callers are refused although the other side has the
/// store.
TEST(ConfigExchange, BothSidesOfALinkEndWithTheNewestConfiguration)
{
  LinkedPair pair;
  pair.Pass(Time::FromMilliseconds(1000), true, false);
  pair.mOwner.Deliver(KeyedConfig(2, { "red-key-2" }, 1400));
  pair.Pass(Time::FromMilliseconds(1500), true, false);
  CHECK(pair.mMember.Call("red-key-1") == JobCallOutcome::Unauthorized);
  pair.Pass(kTrust * 2, true, false);
  CHECK(pair.mMember.Call("red-key-2") == std::nullopt);
  LONGS_EQUAL(1, pair.mConfigs);

  pair.mMember.Deliver(KeyedConfig(3, { "red-key-3" }, 1400));
  pair.Pass(Time::FromMilliseconds(1500), false, true);
  CHECK(pair.mOwner.Call("red-key-2") == JobCallOutcome::Unauthorized);
  CHECK(pair.mOwner.Call("red-key-3") != JobCallOutcome::Unauthorized);
  LONGS_EQUAL(1, pair.mConfigs);

  // Neither has the store, so that each may have missed a version.
  pair.Pass(kTrust + kStep, false, false);
  CHECK(pair.mOwner.Call("red-key-3") == JobCallOutcome::Refused);
  CHECK(pair.mMember.Call("red-key-3") == JobCallOutcome::Refused);
}
