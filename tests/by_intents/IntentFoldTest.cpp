#include <CppUTest/TestHarness.h>

#include "by_intents/IntentFixture.h"
#include "by_intents/IntentLimits.h"

using namespace by;
using by::test::IntentFixture;

TEST_GROUP(IntentFold)
{
  IntentFixture mLog;

  void Quota(std::int64_t aCpu)
  {
    const auto team =
      TeamConfig::Create(
        { .mTeam = TeamId("arreo"), .mQuota = Resources::Create({ .mCpuMillis = aCpu }).value() })
        .value();
    mLog.mConfig = ConfigDocument::Create({ .mTeams = { team } }).value();
  }
};

TEST(IntentFold, RacingConfirmationsOfOneBaseVersionHaveOneWinner)
{
  mLog.Append(mLog.PlanFor("a", {}));
  mLog.Append(mLog.PlanFor("b", {}));
  CHECK_TRUE(mLog.Confirm("a"));
  CHECK_FALSE(mLog.Confirm("b"));
  CHECK_FALSE(mLog.Intent("b").mProgress.Confirmed());
}

TEST(IntentFold, ConfirmationAfterExpiryByLogTimeIsIgnored)
{
  mLog.Append(mLog.PlanFor("a", {}));
  mLog.AdvanceTime(Time::FromMilliseconds(60001));
  CHECK_FALSE(mLog.Confirm("a"));
}

TEST(IntentFold, AnotherTeamCanNeitherConfirmNorCancel)
{
  mLog.Append(mLog.PlanFor("a", { .mTeam = "lak" }));
  CHECK_FALSE(mLog.Confirm("a", "arreo"));
  CHECK_FALSE(mLog.Cancel("a"));
}

TEST(IntentFold, PlannedIntentIsCancelledAndCannotBeConfirmed)
{
  mLog.Append(mLog.PlanFor("a", {}));
  CHECK_TRUE(mLog.Cancel("a"));
  CHECK_FALSE(mLog.Confirm("a"));
  CHECK(mLog.State("a") == IntentState::Cancelled);
}

TEST(IntentFold, RepeatedOrRacingAssignmentCreatesNoSecondLiveGeneration)
{
  mLog.PlanAndConfirm("a", {});
  CHECK_TRUE(mLog.Assign({ IntentFixture::Assignment("a", 0, 1, "r1") }));
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 0, 1, "r2") }));
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 0, 2, "r2") }));
  STRCMP_EQUAL("r1", mLog.Task("a", 0).Rack().Text().c_str());
}

TEST(IntentFold, ReportUnderAnOldEpochIsIgnored)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  mLog.mEpoch = 2;
  CHECK_FALSE(mLog.Report("a", 0, 1, TaskState::Lost, false, "r1", 1));
  CHECK_TRUE(mLog.Task("a", 0).Assigned());
}

TEST(IntentFold, ReportByTheOwnerOfAnotherRackIsIgnored)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1, "r1") });
  CHECK_FALSE(mLog.Report("a", 0, 1, TaskState::Lost, false, "r2"));
}

TEST(IntentFold, BatchFailsAfterItsLastAttempt)
{
  mLog.PlanAndConfirm("a", { .mAttempts = 2 });
  for (std::uint64_t n = 1; n <= 2; ++n) {
    mLog.Assign({ IntentFixture::Assignment("a", 0, n) });
    mLog.Report("a", 0, n, TaskState::Running);
    mLog.Report("a", 0, n, TaskState::Failed);
  }
  CHECK(mLog.State("a") == IntentState::Failed);
  STRCMP_EQUAL("task 0 failed 2 times", mLog.Intent("a").mProgress.Detail().c_str());
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 0, 3) }));
}

TEST(IntentFold, NonIdempotentTaskThatMayHaveRunIsNotReassigned)
{
  mLog.PlanAndConfirm("a", { .mIdempotent = false });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  mLog.Report("a", 0, 1, TaskState::Lost);
  CHECK(mLog.State("a") == IntentState::Failed);
  STRCMP_EQUAL("task 0 may have run and is not idempotent",
               mLog.Intent("a").mProgress.Detail().c_str());
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 0, 2) }));
}

TEST(IntentFold, ReleasedNonIdempotentTaskIsReassigned)
{
  mLog.PlanAndConfirm("a", { .mIdempotent = false });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted);
  CHECK_TRUE(mLog.Assign({ IntentFixture::Assignment("a", 0, 2) }));
}

TEST(IntentFold, ServiceIsRestartedBeyondMaxAttemptsWithBoundedBackoff)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Service, .mAttempts = 1 });
  for (std::uint64_t n = 1; n <= 40; ++n) {
    CHECK_TRUE(mLog.Assign({ IntentFixture::Assignment("a", 0, n) }));
    mLog.Report("a", 0, n, TaskState::Running);
    CHECK(mLog.State("a") == IntentState::Running);
    mLog.Report("a", 0, n, n % 2 == 0 ? TaskState::Succeeded : TaskState::Failed);
    CHECK(mLog.State("a") == IntentState::Starting);
    CHECK(mLog.Intent("a").mUnassigned.begin()->first <= mLog.mNow + kMaxRetryBackoff);
  }
}

TEST(IntentFold, RacingAssignmentsStayWithinQuota)
{
  Quota(2000);
  mLog.PlanAndConfirm("a", { .mTasks = 2 });
  mLog.PlanAndConfirm("b", { .mTasks = 2 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("b", 0, 1) }));
  mLog.Report("a", 0, 1, TaskState::Succeeded);
  CHECK_TRUE(mLog.Assign({ IntentFixture::Assignment("b", 0, 1) }));
}

TEST(IntentFold, GangIsAssignedAllOrNothing)
{
  Quota(1000);
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2, .mCpu = 500 });
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 0, 1) }));
  Quota(999);
  CHECK_FALSE(
    mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) }));
  Quota(1000);
  CHECK_TRUE(
    mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) }));
}

TEST(IntentFold, GangDoesNotStartBeforeAllTasksAreReserved)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  CHECK_FALSE(mLog.DecideGang("a", 1, true));
  mLog.Report("a", 1, 1, TaskState::NotStarted, true);
  CHECK_TRUE(mLog.DecideGang("a", 1, true));
  CHECK_FALSE(mLog.DecideGang("a", 1, false));
}

TEST(IntentFold, GangWithAReleasedTaskDoesNotStart)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  mLog.Report("a", 1, 1, TaskState::NotStarted, true);
  mLog.Report("a", 1, 1, TaskState::NotStarted, false);
  CHECK_FALSE(mLog.DecideGang("a", 1, true));
}

TEST(IntentFold, LateReportOfAnOldRoundIsIgnoredInTheNext)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  CHECK_TRUE(mLog.DecideGang("a", 1, false));
  mLog.Assign({ IntentFixture::Assignment("a", 0, 2), IntentFixture::Assignment("a", 1, 2) });
  mLog.Report("a", 0, 2, TaskState::NotStarted, true);
  CHECK_FALSE(mLog.Report("a", 1, 1, TaskState::NotStarted, true));
  CHECK_FALSE(mLog.DecideGang("a", 2, true));
  CHECK_FALSE(mLog.DecideGang("a", 1, false));
}

TEST(IntentFold, BrokenGangRestartsOnlyAfterAllTasksStopped)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  mLog.Report("a", 1, 1, TaskState::NotStarted, true);
  mLog.DecideGang("a", 1, true);
  mLog.Report("a", 0, 1, TaskState::Running);
  mLog.Report("a", 1, 1, TaskState::Running);
  mLog.Report("a", 0, 1, TaskState::Lost);
  CHECK_FALSE(
    mLog.Assign({ IntentFixture::Assignment("a", 0, 2), IntentFixture::Assignment("a", 1, 2) }));
  mLog.Report("a", 1, 1, TaskState::Stopped);
  CHECK_TRUE(
    mLog.Assign({ IntentFixture::Assignment("a", 0, 2), IntentFixture::Assignment("a", 1, 2) }));
  CHECK(mLog.State("a") == IntentState::Starting);
}

TEST(IntentFold, BrokenNonIdempotentGangIsNotRestarted)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 2, .mIdempotent = false });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::NotStarted, true);
  mLog.Report("a", 1, 1, TaskState::NotStarted, true);
  mLog.DecideGang("a", 1, true);
  mLog.Report("a", 0, 1, TaskState::Running);
  mLog.Report("a", 1, 1, TaskState::NotStarted);
  mLog.Report("a", 0, 1, TaskState::Stopped);
  CHECK(mLog.State("a") == IntentState::Failed);
  CHECK_FALSE(
    mLog.Assign({ IntentFixture::Assignment("a", 0, 2), IntentFixture::Assignment("a", 1, 2) }));
}

TEST(IntentFold, CancelledIntentEndsOnlyAfterAllTasksStopped)
{
  mLog.PlanAndConfirm("a", { .mTasks = 3 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1), IntentFixture::Assignment("a", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::Running);
  CHECK_TRUE(mLog.Cancel("a"));
  CHECK_FALSE(mLog.Assign({ IntentFixture::Assignment("a", 2, 1) }));
  mLog.Report("a", 1, 1, TaskState::NotStarted);
  CHECK(mLog.State("a") == IntentState::Cancelling);
  mLog.Report("a", 0, 1, TaskState::Stopped);
  CHECK(mLog.State("a") == IntentState::Cancelled);
  CHECK_TRUE(mLog.mTable.mRacks.empty());
}

TEST(IntentFold, EndedIntentsAndExpiredPlansAreRemoved)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Cancel("a");
  mLog.Append(mLog.PlanFor("b", {}));
  mLog.AdvanceTime(kEndedIntentRetention + Time::FromSeconds(61));
  mLog.Append(mLog.PlanFor("c", {}));
  LONGS_EQUAL(1, mLog.mTable.mIntents.size());
  LONGS_EQUAL(1, mLog.mTable.mTeams[TeamId("arreo")].mPlans);
}

TEST(IntentFold, RestoredTableEqualsTheFoldedOne)
{
  Quota(50000);
  mLog.PlanAndConfirm("a", { .mTasks = 3 });
  mLog.PlanAndConfirm("b", { .mClass = WorkClass::Gang, .mTasks = 2 });
  mLog.Append(mLog.PlanFor("c", {}));
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1),
                IntentFixture::Assignment("a", 1, 1, "r2"),
                IntentFixture::Assignment("b", 0, 1),
                IntentFixture::Assignment("b", 1, 1) });
  mLog.Report("a", 0, 1, TaskState::Running);
  mLog.Report("b", 0, 1, TaskState::NotStarted, true);
  const auto rows = IntentRows(mLog.mTable);
  const auto restored = IntentTableFrom(rows, TeamVersions(mLog.mTable));
  CHECK(rows == IntentRows(restored));
  CHECK(mLog.mTable.mOpen == restored.mOpen);
  CHECK(mLog.mTable.mPlans == restored.mPlans);
  CHECK(mLog.mTable.mRacks.at(RackId("r1")).mPending == restored.mRacks.at(RackId("r1")).mPending);
  CHECK(mLog.mTable.mRacks.at(RackId("r1")).mCommitted ==
        restored.mRacks.at(RackId("r1")).mCommitted);
  CHECK(mLog.Intent("a").mUnassigned == FindIntent(restored, IntentId("a"))->mUnassigned);
  LONGS_EQUAL(1, FindIntent(restored, IntentId("b"))->mReserved);
}
