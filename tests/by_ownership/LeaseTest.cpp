#include <CppUTest/TestHarness.h>

#include "by_ownership/OwnershipFixture.h"

using namespace by;
using namespace by::test;

TEST_GROUP(Lease)
{
  OwnershipFixture mFixture;

  void setup() override
  {
    mFixture.ListRacks({ "r1" });
    mFixture.Step();
  }
};

TEST(Lease, SuccessorPlacesNothingBeforeItReceivesTheInventory)
{
  mFixture.RunTask("r1/a", "t1");
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-1", 0));
  const auto requested = mFixture.Step();
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  UNSIGNED_LONGS_EQUAL(2, requested.mLeases.size());
  const auto granted = mFixture.AnswerLeases(requested);
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
  UNSIGNED_LONGS_EQUAL(2, granted.mGained.size());
  UNSIGNED_LONGS_EQUAL(1, granted.mInventory.size());
}

TEST(Lease, OwnerPausedPastItsLeaseResumesWithoutAuthority)
{
  mFixture.AcquireRack("r1");
  mFixture.mNow = mFixture.mNow + Ms(5749);
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
  mFixture.mNow = mFixture.mNow + Ms(1);
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
}

TEST(Lease, LateGrantOfAnExpiredLeaseGivesNoAuthority)
{
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-1", 0));
  const auto sent = mFixture.mNow;
  mFixture.Step();
  mFixture.mNow = mFixture.mNow + Ms(9000);
  const auto answer = LeaseAnswered::Create(
    { .mVm = VmId("r1/a"),
      .mEpoch = 1,
      .mSentAt = sent,
      .mGrant = LeaseGrant::Create({ .mGranted = true, .mIncarnation = 1 }).value() });
  ObserveLease(mFixture.mOwnership, mFixture.mContext, answer.value(), mFixture.mNow);
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
}

TEST(Lease, RefusalWithAHigherEpochRevokesAllVmsOfTheRack)
{
  mFixture.AcquireRack("r1");
  mFixture.mServers[VmId("r1/a")].mEpoch = 2;
  const auto actions = mFixture.AnswerLeases(mFixture.Step(2000));
  UNSIGNED_LONGS_EQUAL(2, actions.mLost.size());
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  CHECK_FALSE(mFixture.MayPlace("r1/b"));
}

TEST(Lease, TasksOfAnUnreachableVmAreLostOnlyAfterItsLeaseHasCertainlyExpired)
{
  mFixture.AcquireRack("r1");
  const auto expired = mFixture.Step(5750);
  UNSIGNED_LONGS_EQUAL(2, expired.mLost.size());
  CHECK_TRUE(expired.mTasksLost.empty());
  CHECK_TRUE(expired.mLeases.empty());
  CHECK_TRUE(mFixture.Step(2249).mTasksLost.empty());
  UNSIGNED_LONGS_EQUAL(2, mFixture.Step(1).mTasksLost.size());
  CHECK_TRUE(IsRackResolved(mFixture.mOwnership, RackId("r1")));
}

TEST(Lease, NoRenewalIsSentAfterExpirySoThatALostAnswerKeepsNoTaskAlive)
{
  mFixture.AcquireRack("r1");
  const auto last = mFixture.Step(5000);
  UNSIGNED_LONGS_EQUAL(2, last.mLeases.size());
  CHECK_TRUE(mFixture.Step(2000).mLeases.empty());
  CHECK_TRUE(mFixture.Step(5000).mTasksLost.empty());
  UNSIGNED_LONGS_EQUAL(2, mFixture.Step(1000).mTasksLost.size());
}

TEST(Lease, TasksThatASuccessorMayHaveAdoptedAreNotReportedLost)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mLogFresh = false;
  CHECK_TRUE(mFixture.Step(20000).mTasksLost.empty());
  CHECK_TRUE(mFixture.Step(20000).mTasksLost.empty());
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-2", 1));
  mFixture.mContext.mLogFresh = true;
  CHECK_TRUE(mFixture.Step(100).mTasksLost.empty());
}

TEST(Lease, StartForAReplacedServerIsRefusedByItsSuccessor)
{
  mFixture.AcquireRack("r1");
  const VmId vm("r1/a");
  mFixture.mServers[vm] = BackendFake{ .mIncarnation = 2, .mLeaseUntil = mFixture.mNow + Ms(6000) };
  const auto start =
    TaskStart::Create({ .mTask = TaskId("t1"),
                        .mEpoch = 1,
                        .mNotAfter = mFixture.mNow,
                        .mIncarnation = ServerIncarnation(mFixture.mOwnership, vm) });
  CHECK_FALSE(mFixture.mServers[vm].Start(start.value(), mFixture.mNow));
}

TEST(Lease, VmReplacedUnderTheSameNameLosesItsOldTasks)
{
  mFixture.AcquireRack("r1");
  mFixture.mServers[VmId("r1/a")] = BackendFake{ .mIncarnation = 2 };
  const auto actions = mFixture.AnswerLeases(mFixture.Step(2000));
  UNSIGNED_LONGS_EQUAL(1, actions.mTasksLost.size());
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  CHECK_TRUE(mFixture.MayPlace("r1/b"));
  UNSIGNED_LONGS_EQUAL(1, mFixture.AnswerLeases(mFixture.Step(10)).mGained.size());
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
}

TEST(Lease, VmListedAsLeavingGetsNothingNewAndKeepsItsLease)
{
  mFixture.AcquireRack("r1");
  mFixture.ListRacks({ "r1" }, VmState::Leaving);
  UNSIGNED_LONGS_EQUAL(2, mFixture.Step().mChanged.size());
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  CHECK_TRUE(CommandEpoch(mFixture.mOwnership, VmId("r1/a"), mFixture.mNow).has_value());
  UNSIGNED_LONGS_EQUAL(2, mFixture.Step(2000).mLeases.size());
}

TEST(Lease, VmMissingFromAStaleListKeepsItsLeaseWhileItAnswers)
{
  mFixture.AcquireRack("r1");
  mFixture.ListRacks({});
  mFixture.Step();
  CHECK_FALSE(mFixture.MayPlace("r1/a"));
  mFixture.Run(31000);
  mFixture.ListRacks({});
  mFixture.Run(5000);
  CHECK_TRUE(mFixture.mMembership.mVms.empty());
  UNSIGNED_LONGS_EQUAL(2, mFixture.mOwnership.mLeases.size());
  for (int it = 0; it < 20; ++it) {
    mFixture.Step(1000);
  }
  UNSIGNED_LONGS_EQUAL(0, mFixture.mOwnership.mLeases.size());
}

TEST(Lease, LogOutageDoesNotStopOwners)
{
  mFixture.AcquireRack("r1");
  mFixture.mContext.mLogFresh = false;
  mFixture.Run(60000);
  CHECK_TRUE(mFixture.MayPlace("r1/a"));
}

TEST(Lease, RackClaimedByAnotherNodeIsRemoved)
{
  mFixture.AcquireRack("r1");
  Append(mFixture.mLog, mFixture.mNow, ClaimRack("r1", "node-2", 1));
  UNSIGNED_LONGS_EQUAL(2, mFixture.Step().mLost.size());
  CHECK_TRUE(mFixture.mOwnership.mLeases.empty());
}

TEST(Lease, RenewalsOfManyVmsAreSpreadOverTheInterval)
{
  std::vector<std::string> racks;
  for (int it = 0; it < 60; ++it) {
    racks.push_back(absl::StrCat("many-", it));
    Append(mFixture.mLog, mFixture.mNow, ClaimRack(racks.back(), "node-1", 0));
  }
  mFixture.ListRacks(racks);
  mFixture.AnswerLeases(mFixture.Step());
  std::size_t most = 0;
  for (int it = 0; it < 30; ++it) {
    const auto actions = mFixture.Step(100);
    most = std::max(most, actions.mLeases.size());
    mFixture.AnswerLeases(actions);
  }
  CHECK_TRUE(most > 0);
  CHECK_TRUE(most < 30);
}
