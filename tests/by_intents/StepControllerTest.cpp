#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

#include "absl/strings/str_cat.h"

#include "by_intents/IntentFixture.h"
#include "by_intents/IntentLimits.h"

using namespace by;
using by::test::IntentFixture;

TEST_GROUP(StepController)
{
  IntentFixture mLog;
  IntentController mController;
  IntentContext mContext;
  std::vector<VmDescription> mVms;
  std::vector<RackOwner> mOwners;

  void setup() override
  {
    mContext.mSelf = NodeId("n1");
    mContext.mLive = { NodeId("n1") };
    mContext.mVms = &mVms;
    mContext.mOwners = &mOwners;
    mContext.mLogFresh = true;
  }

  void AddRack(const std::string& aRack, const std::string& aZone, const std::string& aOwner = "n1")
  {
    mVms.push_back(
      VmDescription::Create(
        { .mVm = VmId("v-" + aRack),
          .mRack = RackId(aRack),
          .mZone = ZoneId(aZone),
          .mCapacity =
            Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 32000, .mSlots = 8 }).value() })
        .value());
    mOwners.push_back(
      RackOwner::Create({ .mRack = RackId(aRack), .mNode = NodeId(aOwner), .mEpoch = 1 }).value());
  }

  std::vector<ControllerRecord> Step()
  {
    return StepController(mController, mLog.mTable, mContext, mLog.mNow);
  }

  /// Runs one step and folds the proposed records.
  std::size_t StepAndFold()
  {
    const auto records = Step();
    for (const auto& record : records) {
      std::visit([this](const auto& aBody) { mLog.Append(aBody); }, record);
    }
    return records.size();
  }

  std::map<std::string, int> TasksByRack(const std::string& aId)
  {
    std::map<std::string, int> racks;
    for (const auto& task : mLog.Intent(aId).mTasks) {
      racks[task.Rack().Text()] += task.Assigned() ? 1 : 0;
    }
    return racks;
  }
};

TEST(StepController, LostAppendIsProposedAgainOnlyAfterTheTimeout)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", {});
  LONGS_EQUAL(1, Step().size());
  mLog.AdvanceTime(Time::FromMilliseconds(100));
  LONGS_EQUAL(0, Step().size());
  mLog.AdvanceTime(kProposalTimeout);
  LONGS_EQUAL(1, Step().size());
}

TEST(StepController, OnlyOneNodeProposesForAnIntent)
{
  AddRack("r1", "z1");
  mContext.mLive = { NodeId("n1"), NodeId("n2"), NodeId("n3") };
  std::size_t proposals = 0;
  mLog.PlanAndConfirm("a", {});
  for (const auto& node : mContext.mLive) {
    IntentController controller;
    auto context = mContext;
    context.mSelf = node;
    proposals += StepController(controller, mLog.mTable, context, mLog.mNow).size();
  }
  LONGS_EQUAL(1, proposals);
}

TEST(StepController, NothingIsProposedFromAStaleLog)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", {});
  mContext.mLogFresh = false;
  LONGS_EQUAL(0, Step().size());
}

TEST(StepController, RackWithoutALiveOwnerGetsNoAssignment)
{
  AddRack("r1", "z1", "dead");
  mLog.PlanAndConfirm("a", {});
  LONGS_EQUAL(0, Step().size());
}

TEST(StepController, LeavingVmGetsNoAssignment)
{
  AddRack("r1", "z1");
  mVms[0] = mVms[0].WithState(VmState::Leaving);
  mLog.PlanAndConfirm("a", {});
  LONGS_EQUAL(0, Step().size());
}

TEST(StepController, RacksAreNotOverbooked)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", { .mTasks = 6 });
  StepAndFold();
  LONGS_EQUAL(4, mLog.Intent("a").mLive);
  LONGS_EQUAL(0, StepAndFold());
  mLog.Report("a", 0, 1, TaskState::Succeeded);
  StepAndFold();
  LONGS_EQUAL(4, mLog.Intent("a").mLive);
}

TEST(StepController, ServiceIsSpreadOverZonesThenRacks)
{
  AddRack("r1", "z1");
  AddRack("r2", "z1");
  AddRack("r3", "z1");
  AddRack("r4", "z2");
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Service, .mTasks = 4 });
  StepAndFold();
  auto racks = TasksByRack("a");
  LONGS_EQUAL(2, racks["r4"]);
  racks.erase("r4");
  LONGS_EQUAL(2, racks.size());
}

TEST(StepController, ProposalsStayWithinQuota)
{
  AddRack("r1", "z1");
  const auto team =
    TeamConfig::Create(
      { .mTeam = TeamId("arreo"), .mQuota = Resources::Create({ .mCpuMillis = 2500 }).value() })
      .value();
  mLog.mConfig = ConfigDocument::Create({ .mTeams = { team } }).value();
  mContext.mConfig = &mLog.mConfig;
  mLog.PlanAndConfirm("a", { .mTasks = 4 });
  StepAndFold();
  LONGS_EQUAL(2, mLog.Intent("a").mLive);
  LONGS_EQUAL(0, StepAndFold());
}

TEST(StepController, ReleasedTaskGoesToAnotherRack)
{
  AddRack("r1", "z1");
  AddRack("r2", "z1");
  mLog.PlanAndConfirm("a", {});
  StepAndFold();
  const auto first = mLog.Task("a", 0).Rack().Text();
  mLog.Report("a", 0, 1, TaskState::NotStarted, false, first);
  mLog.AdvanceTime(kInitialRetryBackoff);
  StepAndFold();
  CHECK_TRUE(mLog.Task("a", 0).Assigned());
  CHECK(first != mLog.Task("a", 0).Rack().Text());
}

TEST(StepController, ReleasedReplicaGoesToAnotherZoneWhereItsZoneHasNoOtherRack)
{
  AddRack("r1", "z1");
  AddRack("r2", "z2");
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Service, .mTasks = 2 });
  StepAndFold();
  const std::size_t lost = mLog.Task("a", 0).Rack().Text() == "r1" ? 0 : 1;
  mLog.Report("a", static_cast<std::int64_t>(lost), 1, TaskState::NotStarted, false, "r1");
  mLog.AdvanceTime(kInitialRetryBackoff);
  StepAndFold();
  STRCMP_EQUAL("r2", mLog.Task("a", lost).Rack().Text().c_str());
}

TEST(StepController, FailingTaskIsNotReassignedBeforeItsBackoff)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", { .mAttempts = 9 });
  StepAndFold();
  mLog.Report("a", 0, 1, TaskState::Running);
  mLog.Report("a", 0, 1, TaskState::Failed);
  LONGS_EQUAL(0, StepAndFold());
  mLog.AdvanceTime(kInitialRetryBackoff);
  LONGS_EQUAL(1, StepAndFold());
}

TEST(StepController, GangWaitsUntilAllTasksFit)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", { .mTasks = 2 });
  StepAndFold();
  mLog.PlanAndConfirm("b", { .mClass = WorkClass::Gang, .mTasks = 3 });
  LONGS_EQUAL(0, StepAndFold());
  mLog.Report("a", 0, 1, TaskState::Succeeded);
  LONGS_EQUAL(1, StepAndFold());
  LONGS_EQUAL(3, mLog.Intent("b").mLive);
}

TEST(StepController, GangStartsOnceAllTasksAreReserved)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  StepAndFold();
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  LONGS_EQUAL(0, StepAndFold());
  mLog.Report("a", 1, 1, TaskState::NotStarted, true);
  LONGS_EQUAL(1, StepAndFold());
  CHECK_TRUE(mLog.Intent("a").mProgress.GangStarted());
}

TEST(StepController, GangNotReservedInTimeReleasesItsReservations)
{
  AddRack("r1", "z1");
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  StepAndFold();
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  mLog.AdvanceTime(kGangReservationTimeout);
  LONGS_EQUAL(1, StepAndFold());
  LONGS_EQUAL(0, mLog.Intent("a").mLive);
  CHECK_TRUE(mLog.mTable.mRacks.empty());
}

TEST(StepController, CollidingGangsRetryAtDifferentTimes)
{
  AddRack("r1", "z1");
  std::set<Time> due;
  for (int n = 0; n < 4; ++n) {
    const auto id = absl::StrCat("gang-", n);
    mLog.PlanAndConfirm(id, { .mClass = WorkClass::Gang, .mTasks = 1 });
    mLog.Assign({ IntentFixture::Assignment(id, 0, 1) });
    mLog.DecideGang(id, 1, false);
    due.insert(mLog.Intent(id).mUnassigned.begin()->first);
  }
  LONGS_EQUAL(4, due.size());
}

TEST(StepController, IntentBehindManyUnplaceableOnesIsReached)
{
  AddRack("r1", "z1");
  for (std::size_t n = 0; n < kMaxIntentsPerStep; ++n) {
    mLog.PlanAndConfirm(absl::StrCat("a", n), { .mCpu = 4001 });
  }
  mLog.PlanAndConfirm("b", {});
  StepAndFold();
  StepAndFold();
  LONGS_EQUAL(1, mLog.Intent("b").mLive);
}
