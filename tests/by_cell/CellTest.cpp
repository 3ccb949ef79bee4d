#include "by_cell/CellFixture.h"
#include "by_cell/ReportedState.h"
#include "by_cell/TakeAll.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

std::size_t
CountRuns(const CellFixture& aCell, const std::string& aWorker)
{
  const auto it = aCell.mCell.mWorkers.find(aWorker);
  return it == aCell.mCell.mWorkers.end() ? 0 : it->second.mRuns.size();
}

bool
Has(const std::vector<JobReply>& aReplies, JobCallOutcome aOutcome)
{
  return std::any_of(aReplies.begin(), aReplies.end(), [&](const JobReply& aReply) {
    return aReply.Outcome() == aOutcome;
  });
}

} // namespace

TEST_GROUP(Cell){};

TEST(Cell, JobIsAcceptedOnlyOnceItIsStored)
{
  CellFixture cell;
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  CHECK(cell.TakeReplies().empty());
  cell.Store();
  CHECK(Has(cell.TakeReplies(), JobCallOutcome::Accepted));
}

TEST(Cell, StartIsSentOnlyOnceItsAssignmentIsStored)
{
  CellFixture cell;
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  cell.Store();
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  CHECK(cell.TakeStarts().empty());
  cell.Store();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Cell, RepeatedSubmissionRemainsOneJob)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.TakeReplies();
  cell.Submit("j", { CellFixture::Step(1) });
  CHECK(Has(cell.TakeReplies(), JobCallOutcome::Accepted));
  CHECK(cell.TakeStarts().empty());
}

TEST(Cell, WorkerIsNeverAssignedMoreThanItsCapacity)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(20) });
  CHECK_EQUAL(8, cell.TakeStarts().size());
  CHECK_EQUAL(4, CountRuns(cell, "w1"));
  CHECK_EQUAL(4, CountRuns(cell, "w2"));
}

TEST(Cell, CapacityOfAStoppedRunIsFreeOnlyOnceItsEndIsReported)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(4) });
  cell.TakeStarts();
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  cell.Submit("k", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(4, cell.TakeStops().size());
  cell.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Stopped) });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Cell, StepWaitsForTheStepsBeforeIt)
{
  CellFixture cell;
  auto second = CellFixture::Step(1);
  second.mAfter = { 0 };
  cell.Submit("j", { CellFixture::Step(2), second });
  CHECK_EQUAL(2, cell.TakeStarts().size());
  const auto first = cell.mCell.mWorkers.at("w1").mRuns.size() == 2 ? "w1" : "w2";
  cell.Poll(first, {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  cell.Poll(first, {}, { CellFixture::Ended(2, CellFixture::Run("j", 1, 1), RunEnd::Done) });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Cell, EndIsAcknowledgedOnlyOnceItIsStored)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  CHECK_EQUAL(0, cell.mCell.mWorkers.at("w1").mLastEndStored);
  cell.StoreAll();
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1").mLastEndStored);
  CHECK(ReportedState(cell, "j") == JobState::Completed);
}

TEST(Cell, CompletedIsReportedOnlyOnceItIsStored)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  CHECK(ReportedState(cell, "j") == JobState::Running);
}

TEST(Cell, UnansweredStartIsRepeatedOnTheSameWorker)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto first = cell.TakeStarts().front();
  cell.Started(first.Worker(), CellFixture::Run("j", 0, 1), OrderOutcome::Unanswered);
  cell.mCell.mWorkers.at(first.Worker()).mPollInFlight = true;
  cell.AdvanceTime(Time::FromMilliseconds(300));
  cell.StoreAll();
  // Without a poll nobody knows whether the same process still runs there.
  CHECK(cell.TakeStarts().empty());
  cell.Poll(first.Worker(), {}, {});
  cell.mCell.mWorkers.at(first.Worker()).mPollInFlight = true;
  cell.AdvanceTime(Time::FromMilliseconds(300));
  cell.StoreAll();
  const auto again = cell.TakeStarts();
  CHECK_EQUAL(1, again.size());
  CHECK_EQUAL(first.Worker(), again.front().Worker());
  CHECK_EQUAL(1, again.front().Run());
}

TEST(Cell, GangStartsOnlyWithCapacityForAllMembers)
{
  CellFixture cell;
  auto gang = CellFixture::Step(8);
  gang.mGang = true;
  cell.Submit("other", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Submit("j", { gang });
  CHECK(cell.TakeStarts().empty());
  const auto worker = CountRuns(cell, "w1") == 1 ? "w1" : "w2";
  cell.Poll(worker, {}, { CellFixture::Ended(1, CellFixture::Run("other", 0, 1), RunEnd::Done) });
  cell.StoreAll();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(8, starts.size());
}

TEST(Cell, FailureOfAGangCountsAlsoWhenItIsReportedLast)
{
  // The members that a failure broke off may be reported before the failed one.
  CellFixture cell;
  auto gang = CellFixture::Step(2);
  gang.mGang = true;
  gang.mDemand = Resources::Create({ .mCpuMillis = 3000, .mMemoryMb = 128 }).value();
  cell.Submit("j", { gang });
  CHECK_EQUAL(2, cell.TakeStarts().size());
  const auto worker0 = CountRuns(cell, "w1") == 1 &&
                           cell.mCell.mWorkers.at("w1").mRuns.contains(CellFixture::Run("j", 0, 1))
                         ? "w1"
                         : "w2";
  const auto worker1 = std::string(worker0) == "w1" ? "w2" : "w1";
  for (std::uint32_t run = 1; run <= 2; ++run) {
    cell.Started(worker0, CellFixture::Run("j", 0, run), OrderOutcome::Accepted);
    cell.Started(worker1, CellFixture::Run("j", 1, run), OrderOutcome::Accepted);
    cell.Poll(
      worker1, {}, { CellFixture::Ended(run, CellFixture::Run("j", 1, run), RunEnd::GangBroken) });
    cell.Poll(
      worker0, {}, { CellFixture::Ended(run, CellFixture::Run("j", 0, run), RunEnd::Failed) });
    cell.StoreAll();
  }
  CHECK(ReportedState(cell, "j") == JobState::Failed);
}

TEST(Cell, TaskIsNotStartedAgainAfterItsAttempts)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  cell.StoreAll();
  cell.Poll("w1", {}, { CellFixture::Ended(2, CellFixture::Run("j", 0, 2), RunEnd::Failed) });
  cell.StoreAll();
  cell.TakeStarts();
  cell.AdvanceTime(Time::FromSeconds(10));
  CHECK(cell.TakeStarts().empty());
  CHECK(ReportedState(cell, "j") == JobState::Failed);
}

TEST(Cell, CancelledJobIsStoppedAndStored)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  cell.TakeStarts();
  cell.TakeReplies();
  cell.Call(JobCallKind::Cancel, "j");
  CHECK_EQUAL(2, cell.TakeStops().size());
  CHECK(cell.TakeReplies().empty());
  cell.StoreAll();
  CHECK(Has(cell.TakeReplies(), JobCallOutcome::Cancelled));
  auto next = cell.Successor();
  CHECK(ReportedState(next, "j") == JobState::Cancelled);
}

TEST(Cell, RunOfACancelledJobThatIsReportedLateIsStopped)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  auto next = cell.Successor();
  next.Poll("w1", { CellFixture::Running(CellFixture::Run("j", 0, 1)) }, {});
  CHECK_EQUAL(1, next.TakeStops().size());
}

TEST(Cell, UnknownJobIsNotCancelled)
{
  CellFixture cell(1);
  cell.Call(JobCallKind::Cancel, "nothing");
  cell.mCell.mClaimConfirmedAt = cell.mNow;
  cell.Advance();
  CHECK(Has(cell.TakeReplies(), JobCallOutcome::UnknownJob));
}

TEST(Cell, SubmissionWhoseAppendIsUnansweredIsNeverRefused)
{
  CellFixture cell;
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  for (int i = 0; i < 20; ++i) {
    cell.Store(StoreOutcome::Unanswered);
    cell.Store(StoreOutcome::Refused);
    cell.AdvanceTime(Time::FromMilliseconds(100));
  }
  const auto replies = cell.TakeReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies.front().Outcome() == JobCallOutcome::Uncertain);
  cell.Store();
  CHECK(ReportedState(cell, "j") == JobState::Queued);
}

TEST(Cell, SubmissionThatTheStoreRejectedIsRefusedAndNeverRuns)
{
  CellFixture cell;
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  cell.Store(StoreOutcome::Refused);
  CHECK(Has(cell.TakeReplies(), JobCallOutcome::Refused));
  cell.AdvanceTime(Time::FromSeconds(2));
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  CHECK(cell.Stored().empty());
}

TEST(Cell, SpreadLimitHolds)
{
  CellFixture cell;
  auto spread = CellFixture::Step(4);
  spread.mSpreadLimit = 1;
  cell.Submit("j", { spread });
  CHECK_EQUAL(2, cell.TakeStarts().size());
  CHECK_EQUAL(1, CountRuns(cell, "w1"));
}

TEST(Cell, OccurrenceStartsWhenItIsDue)
{
  CellFixture cell;
  auto request = cell.Submission("j", { CellFixture::Step(1) });
  auto definition = request.Definition()
                      ->WithOccurrences(2)
                      .WithFirstDue(cell.mNow + Time::FromSeconds(2))
                      .WithInterval(Time::FromSeconds(1));
  HandleRequest(
    cell.mCell, { "owner", 1 }, request.WithDefinition(definition), cell.mNow, cell.mOut);
  cell.StoreAll();
  cell.AdvanceTime(Time::FromMilliseconds(1500));
  CHECK(cell.TakeStarts().empty());
  cell.AdvanceTime(Time::FromSeconds(1));
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
  cell.AdvanceTime(Time::FromSeconds(1));
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Cell, LongRunningTaskIsStartedAgainHoweverItEnds)
{
  CellFixture cell(1);
  auto service = CellFixture::Step(1);
  service.mLongRunning = true;
  cell.Submit("j", { service });
  for (std::uint32_t run = 1; run <= 4; ++run) {
    const auto starts = cell.TakeStarts();
    CHECK_EQUAL(1, starts.size());
    CHECK_EQUAL(run, starts.front().Run());
    cell.Poll("w1", {}, { CellFixture::Ended(run, CellFixture::Run("j", 0, run), RunEnd::Failed) });
    cell.AdvanceTime(Time::FromSeconds(3));
    cell.StoreAll();
  }
}

TEST(Cell, JobThatEndsWhileItsRunsArePlannedLeavesNothingReady)
{
  // Guards against a step that becomes ready again when the planned runs of its ended job are
  // removed.
  CellFixture cell(1);
  cell.SubmitUnstored("j", { CellFixture::Step(8) });
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  cell.Call(JobCallKind::Cancel, "j");
  CHECK(cell.mCell.mReady.empty());
  cell.AdvanceTime(Time::FromSeconds(1));
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
}

TEST(Cell, JobCountsAsWaitingUntilAWorkerHasBegunATask)
{
  // A start that was sent may be refused or lost, so the job still counts as waiting.
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeReplies();
  cell.Call(JobCallKind::Count, "");
  CHECK_EQUAL(1, cell.TakeReplies().front().Waiting());
  CHECK(ReportedState(cell, "j") == JobState::Queued);
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Call(JobCallKind::Count, "");
  CHECK_EQUAL(0, cell.TakeReplies().front().Waiting());
  CHECK(ReportedState(cell, "j") == JobState::Running);
}

TEST(Cell, ScavengingTasksAreKeptAwayFromLatencySensitiveTasks)
{
  CellFixture cell;
  auto service = CellFixture::Step(1);
  service.mLongRunning = true;
  service.mTailTarget = Time::FromMilliseconds(50);
  cell.Submit("s", { service });
  const auto serving = cell.TakeStarts().front().Worker();
  auto filler = CellFixture::Step(4);
  filler.mScavenging = true;
  cell.Submit("f", { filler });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(4, starts.size());
  for (const auto& start : starts) {
    CHECK(start.Worker() != serving);
  }
}

// Tasks that were placed during an outage of the store were started after it, 1,600 of them with
// tickets that had expired meanwhile.
TEST(Cell, NothingIsPlacedWhileTheStoreIsLost)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto start = cell.TakeStarts().front();
  cell.Submit("waiting", { CellFixture::Step(4) });
  cell.SubmitUnstored("unstored", { CellFixture::Step(1) });
  cell.AdvanceTime(Time::FromMilliseconds(50));
  cell.Store(StoreOutcome::Unanswered);
  CHECK(cell.mCell.mStoreLostAt != Time::Never());
  cell.mOut.clear();
  cell.Poll(
    start.Worker(), {}, { CellFixture::Ended(1, { start.Task(), start.Run() }, RunEnd::Done) });
  cell.AdvanceTime(Time::FromMilliseconds(300));
  for (const auto& line : TakeAll<LogLine>(cell.mOut)) {
    CHECK(line.Event() != "task.placed");
  }
}

TEST(Cell, StartWhoseTicketExpiredBeforeItWasStoredIsDropped)
{
  CellFixture cell(1);
  cell.mQueue = cell.mQueue.WithAdvice(
    AdvicePolicy::Create({ .mDecisionUs = 1000, .mValidity = Time::FromMilliseconds(1000) })
      .value());
  cell.mCell.mConfig = ClusterConfig::Create({ .mVersion = 2, .mQueues = { cell.mQueue } }).value();
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  HandleAdvice(cell.mCell,
               AdviceAnswered::Create(
                 { .mJob = "j",
                   .mAnswered = true,
                   .mWorkers = { "w1" },
                   .mTickets = { Ticket::Create({ .mWorker = "w1", .mText = "t" }).value() } })
                 .value(),
               cell.mNow,
               cell.mOut);
  cell.AdvanceTime(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1").mRuns.size());
  cell.AdvanceTime(Time::FromMilliseconds(1000));
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
}

// Sixty waiting steps of a full pool ended the placement pass before the steps of an idle pool.
TEST(Cell, FullPoolHidesNoOtherPool)
{
  CellFixture cell(2);
  auto idle = cell.mCell.mWorkers.at("w2").mRegistration.WithPool("idle");
  HandleWorkersChanged(
    cell.mCell, WorkersChanged::Create({ .mPresent = { idle } }).value(), cell.mNow, cell.mOut);
  for (int i = 0; i < 70; ++i) {
    cell.SubmitUnstored("full" + std::to_string(i), { CellFixture::Step(1) });
  }
  cell.mQueue = cell.mQueue.WithPool("idle").WithPathPrefix("/idle/");
  cell.SubmitUnstored("other", { CellFixture::Step(1) });
  cell.AdvanceTime(Time::FromMilliseconds(50));
  CHECK_EQUAL(1, CountRuns(cell, "w2"));
}
