#include <CppUTest/TestHarness.h>

#include <map>

#include "absl/strings/str_cat.h"

#include "by_membership/by_membership.h"
#include "by_schema/ClusterSettings.h"
#include "by_schema/Heartbeat.h"
#include "by_schema/VmList.h"

using namespace by;

namespace {

Time
Ms(std::int64_t aMilliseconds)
{
  return Time::FromMilliseconds(aMilliseconds);
}

Heartbeat
MakeHeartbeat(const std::string& aNode,
              std::uint64_t aIncarnation,
              std::uint64_t aSequence,
              bool aReady = true)
{
  return Heartbeat::Create({ .mNode = NodeId(aNode),
                             .mIncarnation = aIncarnation,
                             .mSequence = aSequence,
                             .mZone = ZoneId("zone-1"),
                             .mReady = aReady })
    .value();
}

VmDescription
MakeVm(const std::string& aName, VmRole aRole, VmState aState = VmState::Live)
{
  return VmDescription::Create({ .mVm = VmId(aName),
                                 .mRole = aRole,
                                 .mState = aState,
                                 .mRack = RackId("rack-1"),
                                 .mZone = ZoneId("zone-1"),
                                 .mRegion = "sonora" })
    .value();
}

VmList
MakeVmList(std::vector<VmDescription> aVms)
{
  return VmList::Create({ .mVms = std::move(aVms) }).value();
}

} // namespace

TEST_GROUP(Membership)
{
  Membership mMembership;
  ClusterSettings mSettings;

  std::size_t LiveCount(std::int64_t aNow)
  {
    return LiveMembers(mMembership, mSettings, Ms(aNow)).size();
  }
};

TEST(Membership, UnheardMemberIsSuspectedAfterTheTimeout)
{
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 1), Ms(1000));
  UNSIGNED_LONGS_EQUAL(1, LiveCount(3000));
  UNSIGNED_LONGS_EQUAL(0, LiveCount(3001));
  CHECK(MemberStatusOf(*FindMember(mMembership, NodeId("node-1")), mSettings, Ms(3001)) ==
        MemberStatus::Suspected);
}

TEST(Membership, DuplicateOrReorderedHeartbeatDoesNotRefreshAMember)
{
  CHECK_TRUE(ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 5), Ms(1000)));
  CHECK_FALSE(ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 5), Ms(2500)));
  CHECK_FALSE(ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 4), Ms(2500)));
  UNSIGNED_LONGS_EQUAL(0, LiveCount(3500));
}

TEST(Membership, LateHeartbeatOfAReplacedProcessIsIgnored)
{
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 900), Ms(1000));
  CHECK_TRUE(ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 6, 1), Ms(1100)));
  CHECK_FALSE(ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 901), Ms(1200)));
  UNSIGNED_LONGS_EQUAL(6, FindMember(mMembership, NodeId("node-1"))->Incarnation());
}

TEST(Membership, ReplacedMemberIsNotSteadyAtOnce)
{
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 1), Ms(1000));
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 2), Ms(1500));
  CHECK(FindMember(mMembership, NodeId("node-1"))->SteadySince() == Ms(1000));
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 6, 1), Ms(2000));
  CHECK(FindMember(mMembership, NodeId("node-1"))->SteadySince() == Ms(2000));
}

TEST(Membership, FlappingMemberIsNotSteady)
{
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 1), Ms(1000));
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 5, 2), Ms(4000));
  CHECK(FindMember(mMembership, NodeId("node-1"))->SteadySince() == Ms(4000));
}

TEST(Membership, MemberWhoseVmIsLeavingIsNotLive)
{
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 1), Ms(1000));
  ObserveVmList(
    mMembership, MakeVmList({ MakeVm("node-1", VmRole::EntryNode, VmState::Leaving) }), Ms(1000));
  UNSIGNED_LONGS_EQUAL(0, LiveCount(1100));
  ObserveHeartbeat(mMembership, MakeHeartbeat("node-1", 1, 2), Ms(1500));
  UNSIGNED_LONGS_EQUAL(0, LiveCount(1600));
}

TEST(Membership, ListedMemberThatWasNeverHeardIsNotLive)
{
  ObserveVmList(mMembership, MakeVmList({ MakeVm("node-1", VmRole::EntryNode) }), Ms(1000));
  UNSIGNED_LONGS_EQUAL(0, LiveCount(1001));
}

TEST(Membership, UnlistedVmIsLeavingBeforeItIsRemoved)
{
  ObserveVmList(mMembership, MakeVmList({ MakeVm("vm-1", VmRole::BackendServer) }), Ms(1000));
  ObserveVmList(mMembership, MakeVmList({}), Ms(2000));
  CHECK(FindVm(mMembership, VmId("vm-1"))->State() == VmState::Leaving);
  ObserveVmList(mMembership, MakeVmList({}), Ms(32000));
  POINTERS_EQUAL(nullptr, FindVm(mMembership, VmId("vm-1")));
  CHECK_TRUE(mMembership.mRacks.empty());
}

TEST(Membership, RelistedVmIsLiveAgain)
{
  const auto full = MakeVmList({ MakeVm("vm-1", VmRole::BackendServer) });
  ObserveVmList(mMembership, full, Ms(1000));
  ObserveVmList(mMembership, MakeVmList({}), Ms(2000));
  ObserveVmList(mMembership, full, Ms(3000));
  CHECK(FindVm(mMembership, VmId("vm-1"))->State() == VmState::Live);
}

TEST(Membership, RendezvousWeightIsTheSameInEveryBuild)
{
  CHECK(RendezvousWeight(NodeId("node-1"), "rack-1") == 5309747954797699667ULL);
}

TEST(Membership, DeadNodeMovesOnlyItsOwnRacks)
{
  std::vector<NodeId> nodes;
  for (int it = 1; it <= 9; ++it) {
    nodes.emplace_back(absl::StrCat("node-", it));
  }
  std::map<std::string, int> load;
  for (int it = 0; it < 900; ++it) {
    const auto rack = absl::StrCat("rack-", it);
    const auto before = RendezvousOwner(nodes, rack);
    auto rest = nodes;
    std::erase(rest, NodeId("node-4"));
    CHECK_TRUE(before == NodeId("node-4") || RendezvousOwner(rest, rack) == before);
    load[before.Text()] += 1;
    UNSIGNED_LONGS_EQUAL(0, RendezvousRank(nodes, rack, before));
  }
  for (const auto& [node, count] : load) {
    CHECK_TRUE(count > 60 && count < 150);
  }
}
