#include <CppUTest/TestHarness.h>

#include "by_ownership/OwnershipFixture.h"

using namespace by;
using namespace by::test;

TEST_GROUP(Rack)
{
  OwnershipFixture mFixture;

  /// @returns a rack whose preferred owner is the given node when node-1 and node-2 are the
  ///          candidates.
  std::string RackPreferring(const std::string& aNode)
  {
    const std::vector<NodeId> nodes{ NodeId("node-1"), NodeId("node-2") };
    for (int it = 0;; ++it) {
      const auto rack = absl::StrCat("rack-", it);
      if (RendezvousOwner(nodes, rack) == NodeId(aNode)) {
        return rack;
      }
    }
  }

  /// Gives the rack to an owner and runs for five seconds while node-2 sends heartbeats.
  void SetUpOwnedRack(const std::string& aRack, const std::string& aOwner)
  {
    mFixture.ListRacks({ aRack });
    Append(mFixture.mLog, mFixture.mNow, ClaimRack(aRack, aOwner, 0));
    for (auto& [vm, server] : mFixture.mServers) {
      server.mEpoch = 1;
    }
    mFixture.Run(5000, { "node-2" });
  }

  /// @returns the number of records made by a step and by the servers' answers to it.
  std::size_t ClaimsAfter(std::int64_t aDelay)
  {
    const auto actions = mFixture.Step(aDelay);
    const auto answered = mFixture.AnswerLeases(actions);
    mFixture.AppendRecords(actions);
    mFixture.AppendRecords(answered);
    return actions.mRecords.size() + answered.mRecords.size();
  }
};

TEST(Rack, OfADeadNodeIsClaimedOnceAfterTheSuspicionTimeout)
{
  const auto rack = RackPreferring("node-1");
  SetUpOwnedRack(rack, "node-2");
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(1500));
  const auto probe = mFixture.Step(501);
  UNSIGNED_LONGS_EQUAL(2, probe.mLeases.size());
  const auto answered = mFixture.AnswerLeases(probe);
  UNSIGNED_LONGS_EQUAL(1, answered.mRecords.size());
  CHECK_TRUE(mFixture.Step(100).mRecords.empty());
  mFixture.AppendRecords(answered);
  CHECK_TRUE(mFixture.AnswerLeases(mFixture.Step(50)).mGained.size() == 2);
}

TEST(Rack, WithUnreachableServersIsNotClaimedDuringAPartition)
{
  SetUpOwnedRack(RackPreferring("node-1"), "node-2");
  for (int it = 0; it < 3600; it += 2) {
    const auto actions = mFixture.Step(2000);
    CHECK_TRUE(actions.mRecords.empty());
  }
}

TEST(Rack, OfADeadNodeKeepsItsTasksThroughTheTakeover)
{
  const auto rack = RackPreferring("node-1");
  SetUpOwnedRack(rack, "node-2");
  mFixture.RunTask(rack + "/a", "t1");
  std::size_t adopted = 0;
  for (int it = 0; it < 10; ++it) {
    const auto actions = mFixture.Step(500);
    const auto answered = mFixture.AnswerLeases(actions);
    mFixture.AppendRecords(answered);
    adopted += answered.mInventory.size();
  }
  UNSIGNED_LONGS_EQUAL(1, adopted);
}

TEST(Rack, WithAnUnconfirmedClaimIsClaimedAgainOnlyAfterTheRetryDelay)
{
  mFixture.ListRacks({ "r1" });
  mFixture.Step();
  const auto first = mFixture.Step(2000);
  UNSIGNED_LONGS_EQUAL(1, first.mRecords.size());
  CHECK_TRUE(mFixture.Step(3999).mRecords.empty());
  const auto second = mFixture.Step(1);
  UNSIGNED_LONGS_EQUAL(1, second.mRecords.size());
  mFixture.AppendRecords(first);
  mFixture.AppendRecords(second);
  UNSIGNED_LONGS_EQUAL(1, OwnerOf(mFixture.mLog, RackId("r1"))->Epoch());
}

TEST(Rack, ClaimedFirstByAnotherNodeIsNotClaimedAgain)
{
  const auto rack = RackPreferring("node-1");
  mFixture.ListRacks({ rack });
  mFixture.Step();
  const auto claim = mFixture.Step(2000);
  Append(mFixture.mLog, mFixture.mNow, ClaimRack(rack, "node-2", 0));
  mFixture.AppendRecords(claim);
  mFixture.ReceiveHeartbeat("node-2");
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(10));
  CHECK_TRUE(mFixture.mOwnership.mRacks.empty());
  CHECK_TRUE(mFixture.mOwnership.mClaims.empty());
}

TEST(Rack, IsNotClaimedWhileTheLogCannotBeRead)
{
  SetUpOwnedRack(RackPreferring("node-1"), "node-2");
  mFixture.mContext.mLogFresh = false;
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(10000));
}

TEST(Rack, IsNotClaimedByANodeThatHasJustStarted)
{
  mFixture.ListRacks({ "r1" });
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-2", 0));
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(0));
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(1999));
}

TEST(Rack, OfAReplacedProcessIsClaimedAtOnce)
{
  const auto rack = RackPreferring("node-1");
  SetUpOwnedRack(rack, "node-2");
  mFixture.mNow = mFixture.mNow + Ms(100);
  mFixture.mSequences["node-2"] = 0;
  mFixture.ReceiveHeartbeat("node-2", 2);
  UNSIGNED_LONGS_EQUAL(1, ClaimsAfter(10));
}

TEST(Rack, OfAnEarlierProcessOfThisNodeIsClaimedAgain)
{
  mFixture.ListRacks({ "r1" });
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-1", 0, 99));
  mFixture.Step();
  CHECK_TRUE(mFixture.mOwnership.mRacks.empty());
  UNSIGNED_LONGS_EQUAL(1, ClaimsAfter(2000));
}

TEST(Rack, OfAnUnheardOwnerThatClaimsItIsNotClaimedAgainAtOnce)
{
  const auto rack = RackPreferring("node-1");
  SetUpOwnedRack(rack, "node-2");
  mFixture.Run(10000);
  Append(mFixture.mLog,
         mFixture.mNow,
         ClaimRack(rack, "node-2", OwnerOf(mFixture.mLog, RackId(rack))->Epoch()));
  UNSIGNED_LONGS_EQUAL(0, ClaimsAfter(10000));
  UNSIGNED_LONGS_EQUAL(1, ClaimsAfter(20001));
}

TEST(Rack, MovesToItsSteadyPreferredNodeAFewAtATime)
{
  std::vector<std::string> racks;
  for (int it = 0; it < 40; ++it) {
    racks.push_back(absl::StrCat("rack-", it));
    Append(mFixture.mLog, mFixture.mNow, ClaimRack(racks.back(), "node-1", 0));
  }
  mFixture.ListRacks(racks);
  mFixture.Run(11000);
  CHECK_TRUE(mFixture.Run(9500, { "node-2" }).mRecords.empty());
  const auto moved = mFixture.Run(500, { "node-2" });
  UNSIGNED_LONGS_EQUAL(2, moved.mRecords.size());
}

TEST(Rack, DoesNotMoveToAFlappingNode)
{
  const auto rack = RackPreferring("node-2");
  SetUpOwnedRack(rack, "node-1");
  for (int it = 0; it < 20; ++it) {
    CHECK_TRUE(mFixture.Run(3000, { "node-2" }).mRecords.empty());
    CHECK_TRUE(mFixture.Run(3000).mRecords.empty());
  }
  CHECK_TRUE(mFixture.MayPlace(rack + "/a"));
}

TEST(Rack, BeingReleasedReceivesNoPlacements)
{
  mFixture.ListRacks({ "r1" });
  mFixture.Step();
  mFixture.AcquireRack("r1");
  mFixture.mContext.mDraining = true;
  const auto stop = mFixture.Step(100);
  UNSIGNED_LONGS_EQUAL(2, stop.mLost.size());
  UNSIGNED_LONGS_EQUAL(1, stop.mRecords.size());
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  CHECK_TRUE(mFixture.Run(3000).mLeases.size() + mFixture.mOwnership.mLeases.size() > 0);
  mFixture.AppendRecords(stop);
  mFixture.Step(100);
  CHECK_TRUE(mFixture.mOwnership.mRacks.empty());
}

TEST(Rack, WithServersAtAHigherEpochThanTheLogIsClaimedAgain)
{
  mFixture.ListRacks({ "r1" });
  mFixture.Step();
  mFixture.AcquireRack("r1");
  mFixture.mServers[VmId("r1/a")].mEpoch = 2;
  mFixture.mServers[VmId("r1/b")].mEpoch = 2;
  mFixture.Run(2000);
  mFixture.AppendRecords(mFixture.Step(4000));
  mFixture.Run(1000);
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
}

TEST(Rack, OfADeadNodeIsNotClaimedFromAnotherRegion)
{
  mFixture.mContext.mRegion = "jalisco";
  const auto rack = RackPreferring("node-1");
  SetUpOwnedRack(rack, "node-3");
  mFixture.Run(4000, { "node-2" });
  CHECK_TRUE(mFixture.mOwnership.mClaims.empty());
}
