#include <CppUTest/TestHarness.h>

#include "by_ownership/OwnershipFixture.h"

using namespace by;
using namespace by::test;

/// Backend servers that do not compare epochs, so that fencing relies on lease expiry.
TEST_GROUP(LeaseTimeout)
{
  OwnershipFixture mFixture;

  void setup() override
  {
    mFixture.mSettings = mFixture.mSettings.WithFencing(Fencing::LeaseTimeout);
    mFixture.ListRacks({ "r1" });
    for (auto& [vm, server] : mFixture.mServers) {
      server.mComparesEpochs = false;
    }
    mFixture.mContext.mLogReadAt = mFixture.mNow;
    mFixture.Step();
  }
};

TEST(LeaseTimeout, SuccessorReadsTheInventoryAfterTheOldLeaseExpires)
{
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-2", 0));
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-1", 1));
  mFixture.Run(6000);
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  mFixture.RunTask("r1/a", "started by the old owner at the last moment");
  mFixture.Run(2500);
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
  CHECK_TRUE(mFixture.mOwnership.mRacks.begin()->second.PlaceFrom() > Time());
}

TEST(LeaseTimeout, SuccessorOfAReleasedRackNeedNotWait)
{
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-2", 0));
  const auto release = RackRelease::Create(
    { .mRack = RackId("r1"), .mNode = NodeId("node-2"), .mIncarnation = 1, .mEpoch = 1 });
  Append(mFixture.mLog, mFixture.mNow, release.value());
  mFixture.AcquireRack("r1");
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
}

TEST(LeaseTimeout, OwnerPartitionedFromTheLogStopsBeforeItsSuccessorStarts)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mLogFresh = false;
  mFixture.mPeerLogLead = 1;
  mFixture.ReceiveHeartbeat("node-2");
  mFixture.Run(5500, { "node-2" });
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
  mFixture.Run(1000, { "node-2" });
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
}

TEST(LeaseTimeout, OwnerContinuesWhenTheLogIsDownForAllNodes)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mLogFresh = false;
  for (int it = 0; it < 60; ++it) {
    mFixture.Run(1000, { "node-2" });
    CHECK_TRUE(mFixture.MayPlace("r1/a"));
  }
}

TEST(LeaseTimeout, OwnerStopsWhenAPeerIsNotHeardFromDuringALogOutage)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mLogFresh = false;
  mFixture.ReceiveHeartbeat("node-2");
  mFixture.Run(8000);
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
}

TEST(LeaseTimeout, ReleaseWaitsForStartsInFlight)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mDraining = true;
  CHECK_TRUE(mFixture.Step(100).mRecords.empty());
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  CHECK_TRUE(mFixture.Step(1999).mRecords.empty());
  UNSIGNED_LONGS_EQUAL(1, mFixture.Step(1).mRecords.size());
}

TEST(LeaseTimeout, StartIsValidOnlyWhileItsSenderHasAuthority)
{
  mFixture.AcquireRack("r1");
  const VmId vm("r1/a");
  const auto at = mFixture.mNow;
  CHECK(StartDeadline(mFixture.mOwnership, vm, at, mFixture.mSettings) == at + Ms(1500));
  const auto late = at + Ms(5000);
  CHECK(StartDeadline(mFixture.mOwnership, vm, late, mFixture.mSettings) == at + Ms(5750));
}
