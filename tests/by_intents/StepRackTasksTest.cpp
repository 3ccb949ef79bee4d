#include <CppUTest/TestHarness.h>

#include "by_intents/IntentFixture.h"
#include "by_intents/IntentLimits.h"

using namespace by;
using by::test::IntentFixture;

TEST_GROUP(StepRackTasks)
{
  IntentFixture mLog;
  RackTasks mTasks;
  RackTasksContext mContext;

  void setup() override
  {
    mContext.mSelf = NodeId("n1");
    mContext.mRacks = { { .mRack = RackId("r1"), .mEpoch = 1, .mReconciled = true } };
    mContext.mClockDrift = Time::FromMilliseconds(100);
  }

  RackTaskActions Step()
  {
    return StepRackTasks(mTasks, mLog.mTable, mContext, mLog.mNow);
  }

  /// Runs one step and folds the reports.
  RackTaskActions StepAndFold()
  {
    auto actions = Step();
    for (const auto& reports : actions.mReports) {
      mLog.Append(reports);
    }
    return actions;
  }

  bool PlaceTask(const std::string& aTask, const std::string& aVm = "v1")
  {
    return ObservePlaced(
      mTasks, PlacedWork::Create({ .mTask = TaskId(aTask), .mVm = VmId(aVm) }).value(), mLog.mNow);
  }

  void AnswerStart(TaskState aState, std::uint64_t aGeneration = 1)
  {
    ObserveTaskResult(
      mTasks,
      VmId("v1"),
      TaskResult::Create({ .mTask = TaskId("a/0"), .mGeneration = aGeneration, .mState = aState })
        .value(),
      mLog.mNow);
  }

  static TaskStatus MakeStatus(TaskState aState, std::uint64_t aGeneration = 1)
  {
    return TaskStatus::Create({ .mTask = TaskId("a/0"),
                                .mGeneration = aGeneration,
                                .mState = aState,
                                .mDetached = true })
      .value();
  }

  void ReceiveInventory(const std::vector<TaskStatus>& aTasks)
  {
    ObserveInventory(
      mTasks, VmId("v1"), RackId("r1"), aTasks, mLog.mNow, mContext.mClockDrift, mLog.mNow);
  }

  /// Advances task 0 of intent a until its start was sent.
  void StartTask(const IntentFixture::Options& aOptions = {})
  {
    mLog.PlanAndConfirm("a", aOptions);
    mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
    Step();
    PlaceTask("a/0");
    StepAndFold();
    Step();
  }

  void RunTask(const IntentFixture::Options& aOptions = {})
  {
    StartTask(aOptions);
    AnswerStart(TaskState::Running);
    StepAndFold();
    Step();
  }

  bool IsRunning()
  {
    return mLog.Task("a", 0).State() == TaskState::Running;
  }
};

TEST(StepRackTasks, TaskIsOfferedStartedAndReportedOnce)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  LONGS_EQUAL(1, Step().mOffers.size());
  LONGS_EQUAL(0, Step().mOffers.size());
  PlaceTask("a/0");
  const auto starts = Step().mStarts;
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].mStart.Generation());
  CHECK(starts[0].mStart.NotAfter() == mLog.mNow + kStartWindow);
  LONGS_EQUAL(0, Step().mStarts.size());
  AnswerStart(TaskState::Running);
  StepAndFold();
  CHECK_TRUE(IsRunning());
  LONGS_EQUAL(0, Step().mReports.size());
  LONGS_EQUAL(0, mTasks.mActive.size());
}

TEST(StepRackTasks, LostReportIsRepeatedAfterTheTimeout)
{
  StartTask();
  AnswerStart(TaskState::Running);
  LONGS_EQUAL(1, Step().mReports.size());
  LONGS_EQUAL(0, Step().mReports.size());
  mLog.AdvanceTime(kProposalTimeout);
  LONGS_EQUAL(1, Step().mReports.size());
}

TEST(StepRackTasks, NonIdempotentTaskIsNotStartedBeforeItsReservationIsInTheLog)
{
  mLog.PlanAndConfirm("a", { .mIdempotent = false });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  Step();
  PlaceTask("a/0");
  const auto first = Step();
  LONGS_EQUAL(0, first.mStarts.size());
  LONGS_EQUAL(1, first.mReports.size());
  mLog.Append(first.mReports[0]);
  LONGS_EQUAL(1, Step().mStarts.size());
}

TEST(StepRackTasks, NothingIsOfferedBeforeTheRackIsReconciled)
{
  mContext.mRacks[0].mReconciled = false;
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  LONGS_EQUAL(0, Step().mOffers.size());
  ReceiveInventory({ MakeStatus(TaskState::Running) });
  mContext.mRacks[0].mReconciled = true;
  LONGS_EQUAL(0, StepAndFold().mOffers.size());
  CHECK_TRUE(IsRunning());
}

TEST(StepRackTasks, NewOwnerReportsTasksThatNoServerRunsAsLost)
{
  RunTask();
  mTasks = {};
  mContext.mRacks[0].mEpoch = 2;
  mLog.mEpoch = 2;
  mContext.mRacks[0].mReconciled = false;
  LONGS_EQUAL(0, StepAndFold().mReports.size());
  mContext.mRacks[0].mReconciled = true;
  StepAndFold();
  CHECK(mLog.Task("a", 0).State() == TaskState::Lost);
}

TEST(StepRackTasks, NewOwnerDoesNotStartAReservedNonIdempotentTask)
{
  StartTask({ .mIdempotent = false });
  mTasks = {};
  mContext.mRacks[0].mEpoch = 2;
  mLog.mEpoch = 2;
  LONGS_EQUAL(0, StepAndFold().mOffers.size());
  CHECK(mLog.State("a") == IntentState::Failed);
}

TEST(StepRackTasks, NewOwnerKeepsARunningTask)
{
  RunTask({ .mIdempotent = false });
  mTasks = {};
  mContext.mRacks[0].mEpoch = 2;
  mLog.mEpoch = 2;
  mContext.mRacks[0].mReconciled = false;
  Step();
  ReceiveInventory({ MakeStatus(TaskState::Running) });
  mContext.mRacks[0].mReconciled = true;
  LONGS_EQUAL(0, StepAndFold().mReports.size());
  CHECK_TRUE(IsRunning());
}

TEST(StepRackTasks, UnansweredStartIsResolvedOnlyByAnInventoryAfterItsDeadline)
{
  StartTask();
  ObserveUnanswered(mTasks, VmId("v1"), TaskId("a/0"), 1, true, "reset", mLog.mNow);
  ReceiveInventory({});
  LONGS_EQUAL(0, StepAndFold().mReports.size());
  mLog.AdvanceTime(kStartWindow + mContext.mClockDrift + Time::FromMilliseconds(1));
  LONGS_EQUAL(1, StepAndFold().mInventoryRequests.size());
  ReceiveInventory({});
  StepAndFold();
  CHECK(mLog.Task("a", 0).State() == TaskState::Lost);
}

TEST(StepRackTasks, InventoryRequestedBeforeTheStartDoesNotMarkATaskLost)
{
  const auto requestedAt = mLog.mNow;
  mLog.AdvanceTime(Time::FromMilliseconds(1));
  RunTask();
  ObserveVmLost(mTasks, VmId("v1"), mLog.mNow + Time::FromSeconds(6));
  ObserveInventory(
    mTasks, VmId("v1"), RackId("r1"), {}, requestedAt, mContext.mClockDrift, mLog.mNow);
  LONGS_EQUAL(0, StepAndFold().mReports.size());
  CHECK_TRUE(IsRunning());
}

TEST(StepRackTasks, TaskWhoseStartWasNotSentIsReleased)
{
  StartTask();
  ObserveUnanswered(mTasks, VmId("v1"), TaskId("a/0"), 1, false, "refused", mLog.mNow);
  const auto actions = StepAndFold();
  CHECK(mLog.Task("a", 0).State() == TaskState::NotStarted);
  CHECK_FALSE(mLog.Task("a", 0).Assigned());
  LONGS_EQUAL(1, actions.mFinished.size());
}

TEST(StepRackTasks, TasksOfALostVmAreReportedOnlyAfterLeaseExpiry)
{
  RunTask();
  ObserveVmLost(mTasks, VmId("v1"), mLog.mNow + Time::FromSeconds(6));
  mLog.AdvanceTime(Time::FromMilliseconds(5999));
  LONGS_EQUAL(0, StepAndFold().mReports.size());
  mLog.AdvanceTime(Time::FromMilliseconds(1));
  StepAndFold();
  CHECK(mLog.Task("a", 0).State() == TaskState::Lost);
}

TEST(StepRackTasks, TaskThatWaitsTooLongForCapacityIsReleased)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  Step();
  mLog.AdvanceTime(kOfferTimeout + Time::FromMilliseconds(1));
  const auto actions = StepAndFold();
  LONGS_EQUAL(1, actions.mCancels.size());
  CHECK_FALSE(mLog.Task("a", 0).Assigned());
  CHECK_FALSE(PlaceTask("a/0"));
}

TEST(StepRackTasks, CancelledTaskIsStoppedUntilItEnds)
{
  RunTask();
  mLog.Cancel("a");
  LONGS_EQUAL(1, Step().mStops.size());
  LONGS_EQUAL(0, Step().mStops.size());
  mLog.AdvanceTime(kStopRetryInterval);
  LONGS_EQUAL(1, Step().mStops.size());
  ObserveTaskStatus(mTasks, VmId("v1"), RackId("r1"), MakeStatus(TaskState::Stopped), mLog.mNow);
  LONGS_EQUAL(1, StepAndFold().mFinished.size());
  CHECK(mLog.State("a") == IntentState::Cancelled);
  LONGS_EQUAL(1, Step().mAcknowledged.size());
  LONGS_EQUAL(0, mTasks.mTasks.size());
}

TEST(StepRackTasks, GangStartsOnlyAfterTheDecision)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 1 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  Step();
  PlaceTask("a/0");
  LONGS_EQUAL(0, StepAndFold().mStarts.size());
  LONGS_EQUAL(0, StepAndFold().mStarts.size());
  mLog.DecideGang("a", 1, true);
  LONGS_EQUAL(1, StepAndFold().mStarts.size());
}

TEST(StepRackTasks, ReservationOfAnAbandonedRoundIsCancelled)
{
  mLog.PlanAndConfirm("a", { .mClass = WorkClass::Gang, .mTasks = 1 });
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  Step();
  PlaceTask("a/0");
  StepAndFold();
  mLog.DecideGang("a", 1, false);
  mLog.Assign({ IntentFixture::Assignment("a", 0, 2) });
  const auto actions = Step();
  LONGS_EQUAL(1, actions.mCancels.size());
  LONGS_EQUAL(1, actions.mOffers.size());
}

TEST(StepRackTasks, TasksOfAReleasedRackAreRemoved)
{
  mLog.PlanAndConfirm("a", {});
  mLog.Assign({ IntentFixture::Assignment("a", 0, 1) });
  Step();
  PlaceTask("a/0");
  mContext.mRacks.clear();
  const auto actions = Step();
  LONGS_EQUAL(1, actions.mCancels.size());
  LONGS_EQUAL(0, actions.mStarts.size());
  LONGS_EQUAL(0, mTasks.mTasks.size());
}
