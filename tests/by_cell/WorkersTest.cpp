#include "by_cell/CellFixture.h"
#include "by_cell/ReportedState.h"

#include <CppUTest/TestHarness.h>

using namespace by;

TEST_GROUP(Workers){};

TEST(Workers, LostWorkerKeepsItsTasksUntilItsLeaseExpires)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  const auto worker = starts.front().Worker();
  cell.Started(worker, CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  const auto granted = starts.front().LeaseUntil() - cell.mCell.mWorkers.at(worker).mWorkerClock;
  cell.LoseWorker(worker);
  cell.AdvanceTime(granted);
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  cell.AdvanceTime(Time::FromMilliseconds(1500));
  cell.StoreAll();
  const auto again = cell.TakeStarts();
  CHECK_EQUAL(1, again.size());
  CHECK(again.front().Worker() != worker);
  CHECK_EQUAL(2, again.front().Run());
}

TEST(Workers, LostWorkerIsNotRenewed)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  cell.Started(worker, CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.LoseWorker(worker);
  cell.mCell.mWorkers.at(worker).mPollInFlight = false;
  cell.TakePolls();
  cell.AdvanceTime(Time::FromMilliseconds(400));
  for (const auto& poll : cell.TakePolls()) {
    CHECK(poll.Worker() != worker || !poll.LeaseUntil());
  }
}

TEST(Workers, FailureIsCountedOnceThoughASuccessorSeesItAgain)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  cell.StoreAll();
  auto next = cell.Successor();
  next.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  next.StoreAll();
  CHECK(ReportedState(next, "j") == JobState::Running);
}

TEST(Workers, SuccessorAdoptsRunningTasks)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  auto next = cell.Successor();
  next.Poll(worker, { CellFixture::Running(CellFixture::Run("j", 0, 1)) }, {});
  next.StoreAll();
  CHECK(next.TakeStarts().empty());
  CHECK(next.TakeStops().empty());
}

TEST(Workers, SuccessorRestartsWhatTheFencedWorkerDoesNotReport)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  auto next = cell.Successor();
  next.Poll("w1", {}, {});
  next.Poll("w2", {}, {});
  next.StoreAll();
  const auto starts = next.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
  CHECK_EQUAL(8, starts.front().Epoch());
}

/// A successor never polled workers that it took for lost before it read the registry, and their
/// runs blocked the cell until the leases had expired.
TEST(Workers, SuccessorPollsAWorkerThatRegistersAfterItCountedAsLost)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  CellFixture next(0);
  CellState empty;
  empty.mEpoch = cell.mCell.mEpoch + 1;
  empty.mConfig = cell.mCell.mConfig;
  empty.mConfirmedAt = next.mNow;
  empty.mOwnerSince = next.mNow;
  next.mCell = RestoreCell(std::move(empty), cell.Stored(), next.mNow, next.mOut);
  next.AdvanceTime(Time::FromMilliseconds(100));
  WorkersChanged::Fields workers;
  workers.mPresent = { cell.mCell.mWorkers.at("w1").mRegistration };
  HandleWorkersChanged(
    next.mCell, WorkersChanged::Create(std::move(workers)).value(), next.mNow, next.mOut);
  next.Advance();
  CHECK_EQUAL(1, next.TakePolls().size());
}

TEST(Workers, SuccessorWaitsForAWorkerThatDoesNotAnswer)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  const auto other = worker == "w1" ? "w2" : "w1";
  auto next = cell.Successor();
  next.Poll(other, {}, {});
  next.LoseWorker(worker);
  next.AdvanceTime(next.mCell.mSettings.Lease() + next.mCell.mSettings.AuthorityTimeout());
  CHECK(next.TakeStarts().empty());
  next.AdvanceTime(Time::FromSeconds(1));
  next.StoreAll();
  CHECK_EQUAL(1, next.TakeStarts().size());
}

TEST(Workers, RestartedWorkerLosesAllItsRuns)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1", {}, {}, Time::FromMilliseconds(7777));
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.empty());
  const auto& entry = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.ReadRegistry({ entry.WithProcessStart(Time::FromMilliseconds(7777)) });
  cell.PlayIdleWorkers(Time::FromMilliseconds(1500));
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
}

TEST(Workers, DrainingWorkerGetsNoStartThatWasPlannedBefore)
{
  CellFixture cell(1);
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Advance();
  cell.Store();
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Advance();
  auto entry = cell.mCell.mWorkers.at("w1").mRegistration.WithDraining(true);
  HandleWorkersChanged(
    cell.mCell,
    WorkersChanged::Create({ .mComplete = false, .mPresent = { entry } }).value(),
    cell.mNow,
    cell.mOut);
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, FencedOwnerSendsNothingMore)
{
  CellFixture cell(1);
  HandlePolled(cell.mCell,
               WorkerPolled::Create({ .mWorker = "w1", .mOutcome = OrderOutcome::Fenced }).value(),
               cell.mNow,
               cell.mOut);
  CHECK(cell.mCell.mFenced);
  cell.Submit("j", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, CapacityOfAnUnknownRunStaysReservedAfterATakeover)
{
  // The job was cancelled under the earlier owner, so the demand of its run is no longer known.
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  auto next = cell.Successor();
  next.Poll("w1", { CellFixture::Running(CellFixture::Run("j", 0, 1)) }, {});
  next.Submit("k", { CellFixture::Step(1) });
  CHECK(next.TakeStarts().empty());
  next.Poll("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Stopped) });
  next.StoreAll();
  CHECK_EQUAL(1, next.TakeStarts().size());
}

TEST(Workers, StaleRegistryEntryDoesNotEndAWorker)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  auto old = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.Poll("w1",
            { CellFixture::Running(CellFixture::Run("j", 0, 1)) },
            {},
            cell.mCell.mWorkers.at("w1").mProcessStart);
  HandleWorkersChanged(
    cell.mCell,
    WorkersChanged::Create(
      { .mPresent = { old.WithProcessStart(old.ProcessStart() - Time::FromMilliseconds(1)) } })
      .value(),
    cell.mNow,
    cell.mOut);
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, UnansweredStartIsStoppedAtTheWorkersNextIncarnation)
{
  // The next incarnation has seen no epoch and no stop, and would carry out the late start.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started(worker, run, OrderOutcome::Unanswered);
  cell.Poll(worker, {}, {}, Time::FromMilliseconds(7777));
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.TakeStops().size());
  cell.Stopped(worker, run, OrderOutcome::Accepted);
  cell.Poll(worker, {}, {}, Time::FromMilliseconds(7777));
  CHECK(cell.mCell.mWorkers.at(worker).mRuns.empty());
  cell.PlayIdleWorkers(Time::FromMilliseconds(1500));
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
}

TEST(Workers, DoneRunCountsAlthoughItsWorkerWasLost)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  cell.Started(worker, CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.LoseWorker(worker);
  cell.AdvanceTime(Time::FromSeconds(6));
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
  cell.Poll(worker, {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  cell.StoreAll();
  CHECK(ReportedState(cell, "j") == JobState::Completed);
}

TEST(Workers, SuccessorKnowsOfARequeuedRunThatMayStillRun)
{
  // The stop may not have reached the worker when the owner was lost.
  CellFixture cell;
  auto gang = CellFixture::Step(2);
  gang.mGang = true;
  gang.mDemand = Resources::Create({ .mCpuMillis = 3000, .mMemoryMb = 128 }).value();
  cell.Submit("j", { gang });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(2, starts.size());
  const auto& lost = starts[0];
  const auto& kept = starts[1];
  const RunId keptRun{ kept.Task(), 1 };
  cell.Started(lost.Worker(), { lost.Task(), 1 }, OrderOutcome::Accepted);
  cell.Started(kept.Worker(), keptRun, OrderOutcome::Accepted);
  cell.Poll(lost.Worker(), {}, { CellFixture::Ended(1, { lost.Task(), 1 }, RunEnd::Stopped) });
  cell.StoreAll();
  auto next = cell.Successor();
  next.Poll(lost.Worker(), {}, {});
  next.StoreAll();
  CHECK(next.TakeStarts().empty());
  next.Poll(kept.Worker(), { CellFixture::Running(keptRun) }, {});
  next.StoreAll();
  CHECK(next.TakeStarts().empty());
  CHECK_EQUAL(1, next.TakeStops().size());
  next.Poll(kept.Worker(), {}, { CellFixture::Ended(1, keptRun, RunEnd::Stopped) });
  next.StoreAll();
  CHECK_EQUAL(2, next.TakeStarts().size());
}

TEST(Workers, WorkerIsRetiredWhenAnotherAnswersAtItsAddress)
{
  // Guards against a successor that keeps the inherited runs of such a worker and polls the address
  // again without a delay.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  auto next = cell.Successor();
  next.Poll(worker == "w1" ? "w2" : "w1", {}, {});
  HandlePolled(
    next.mCell,
    WorkerPolled::Create({ .mWorker = worker, .mOutcome = OrderOutcome::WrongWorker }).value(),
    next.mNow,
    next.mOut);
  next.TakePolls();
  next.StoreAll();
  for (const auto& poll : next.TakePolls()) {
    CHECK(poll.Worker() != worker);
  }
  CHECK(next.mCell.mWorkers.at(worker).mNextPoll == Time::Never());
  next.PlayIdleWorkers(Time::FromMilliseconds(1500));
  CHECK_EQUAL(1, next.TakeStarts().size());
}

TEST(Workers, EndOfAnEarlierIncarnationIsNotAcknowledgedInTheNext)
{
  // The next incarnation numbers its ends from 1; an unseen one would be acknowledged by mistake
  // and lost.
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1", {}, { CellFixture::Ended(5, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  cell.Poll("w1", {}, {}, Time::FromMilliseconds(7777));
  cell.StoreAll();
  CHECK_EQUAL(0, cell.mCell.mWorkers.at("w1").mLastEndStored);
}

TEST(Workers, WorkerIsNotLostBeforeTheRegistryIsRead)
{
  // A new owner knows the workers of its predecessor's runs by name alone until it has read the
  // registry. If it gave them up meanwhile, it would not poll them when the registry lists them.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(8) });
  auto next = cell.SuccessorWithoutRegistry();
  next.AdvanceTime(Time::FromMilliseconds(600));
  CHECK(next.mCell.mWorkers.at("w1").mHealth == WorkerHealth::Unseen);
  CHECK(next.mCell.mWorkers.at("w2").mHealth == WorkerHealth::Unseen);
  next.ReadRegistry({ cell.mCell.mWorkers.at("w1").mRegistration });
  const auto polls = next.TakePolls();
  CHECK_EQUAL(1, polls.size());
  STRCMP_EQUAL("w1", polls.front().Worker().c_str());
  next.AdvanceTime(Time::FromMilliseconds(100));
  CHECK(next.mCell.mWorkers.at("w1").mHealth == WorkerHealth::Unseen);
  CHECK(next.mCell.mWorkers.at("w2").mHealth == WorkerHealth::LeaseExpiring);
}

TEST(Workers, InheritedLeasesEndInTimeAlthoughTheRegistryIsNotRead)
{
  // The registry may stay out of reach; the wait for it must not prolong inherited leases.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(8) });
  auto read = cell.Successor();
  auto unread = cell.SuccessorWithoutRegistry();
  for (auto* next : { &read, &unread }) {
    next->LoseWorker("w1");
    next->AdvanceTime(Time::FromSeconds(3));
  }
  const auto& worker = unread.mCell.mWorkers.at("w2");
  CHECK(worker.mHealth == WorkerHealth::LeaseExpiring);
  CHECK(worker.mLeaseExpiresAt == read.mCell.mWorkers.at("w1").mLeaseExpiresAt);
  unread.ReadRegistry({ cell.mCell.mWorkers.at("w2").mRegistration });
  const auto polls = unread.TakePolls();
  CHECK_EQUAL(1, polls.size());
  STRCMP_EQUAL("w2", polls.front().Worker().c_str());
  // The worker may hold the lease of the earlier owner until it has answered this one.
  unread.Poll("w2", {}, {});
  CHECK(worker.mLeaseSent == worker.mWorkerClock + unread.mCell.mSettings.Lease());
}

// A start that went unanswered was sent again after its worker had begun to drain.
TEST(Workers, UnansweredStartIsNotRepeatedOnAWorkerThatDrains)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto start = cell.TakeStarts().front();
  cell.Started("w1", { start.Task(), start.Run() }, OrderOutcome::Unanswered);
  auto entry = cell.mCell.mWorkers.at("w1").mRegistration.WithDraining(true);
  HandleWorkersChanged(
    cell.mCell, WorkersChanged::Create({ .mPresent = { entry } }).value(), cell.mNow, cell.mOut);
  cell.AdvanceTime(Time::FromMilliseconds(300));
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.TakeStops().size());
}

/// Starts and lease renewals for an earlier process of a worker reached the one that had begun
/// under its name, whose clock and whose ends are others.
/// A worker that answered polls and no starts, as one whose starts end with an unknown status, kept
/// the task for good.
TEST(Workers, TaskLeavesAWorkerThatAnswersPollsButNoStarts)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  const auto run = CellFixture::Run("j", 0, 1);
  for (int i = 0; i < 4; ++i) {
    CHECK(cell.TakeStops().empty());
    cell.Started(worker, run, OrderOutcome::Unanswered);
    cell.Poll(worker, {}, {});
    cell.AdvanceTimeStoring(Time::FromMilliseconds(200));
  }
  CHECK_EQUAL(1, cell.TakeStops().size());
  cell.TakeStarts();
  cell.Stopped(worker, run, OrderOutcome::Accepted);
  cell.Poll(worker, {}, {});
  cell.AdvanceTimeStoring(Time::FromMilliseconds(200));
  const auto again = cell.TakeStarts();
  CHECK_EQUAL(1, again.size());
  CHECK(again.front().Worker() != worker);
}

TEST(Workers, StartsAndPollsNameTheProcessThatTheyAreFor)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto first = cell.mCell.mWorkers.at("w1").mProcessStart;
  CHECK(cell.TakeStarts().front().ProcessStart() == first);
  const auto next = first + Time::FromMilliseconds(5000);
  cell.TakePolls();
  cell.ReadRegistry({ cell.mCell.mWorkers.at("w1").mRegistration.WithProcessStart(next) });
  cell.Advance();
  const auto polls = cell.TakePolls();
  CHECK_EQUAL(1, polls.size());
  CHECK(polls.front().ProcessStart() == next);
  CHECK(!polls.front().LeaseUntil());
  CHECK_EQUAL(0, polls.front().Acknowledged());
}

TEST(Workers, StartThatMeetsAnotherProcessIsPlacedAgainOnceThatOneIsKnown)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.TakePolls();
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::OtherProcess);
  cell.StoreAll();
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.empty());
  CHECK_EQUAL(1, cell.TakePolls().size());
  cell.Poll("w1", {}, {}, Time::FromMilliseconds(7777));
  const auto& entry = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.ReadRegistry({ entry.WithProcessStart(Time::FromMilliseconds(7777)) });
  cell.PlayIdleWorkers(Time::FromMilliseconds(1500));
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK(starts.front().ProcessStart() == Time::FromMilliseconds(7777));
}

/// The answer to a poll of an earlier process, which a relay may deliver late, ended the runs of
/// the current one.
TEST(Workers, AnswerOfAnEarlierProcessSaysNothingOfTheCurrentOne)
{
  CellFixture cell(1);
  const auto first = cell.mCell.mWorkers.at("w1").mProcessStart;
  const auto next = first + Time::FromMilliseconds(5000);
  cell.ReadRegistry({ cell.mCell.mWorkers.at("w1").mRegistration.WithProcessStart(next) });
  cell.Poll("w1", {}, {}, next);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.Poll("w1", { CellFixture::Running(run) }, {}, next);
  for (const auto outcome : { OrderOutcome::Accepted, OrderOutcome::Unanswered }) {
    HandlePolled(
      cell.mCell,
      WorkerPolled::Create({ .mWorker = "w1",
                             .mOutcome = outcome,
                             .mReport = WorkerReport::Create({ .mProcessStart = first }).value(),
                             .mProcessStart = first })
        .value(),
      cell.mNow,
      cell.mOut);
  }
  const auto& worker = cell.mCell.mWorkers.at("w1");
  CHECK(worker.mProcessStart == next);
  CHECK(worker.mRuns.contains(run));
  CHECK_EQUAL(0, worker.mPollFailures);
}

TEST(Workers, NextProcessIsPolledAlthoughAPollOfTheEarlierOneIsUnanswered)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.AdvanceTime(Time::FromMilliseconds(300));
  CHECK(cell.mCell.mWorkers.at("w1").mPollInFlight);
  cell.TakePolls();
  const auto& entry = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.ReadRegistry({ entry.WithProcessStart(Time::FromMilliseconds(7777)) });
  cell.Advance();
  CHECK_EQUAL(1, cell.TakePolls().size());
}

/// A worker left and came back under its name while the store was away. The row of the earlier
/// process had been forgotten, so that nothing told the pending acknowledgement from one of its
/// own: the new process forgot ends that nobody had read.
TEST(Workers, PendingEndOfAForgottenWorkerIsNotAcknowledgedToItsNextProcess)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto entry = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1",
            {},
            { CellFixture::Ended(5, CellFixture::Run("j", 0, 1), RunEnd::Done) },
            entry.ProcessStart());
  cell.ReadRegistry({});
  cell.AdvanceTime(Time::FromMilliseconds(100));
  cell.TakePolls();
  cell.Poll("w1",
            {},
            { CellFixture::Ended(5, CellFixture::Run("j", 0, 1), RunEnd::Done) },
            entry.ProcessStart());
  cell.AdvanceTime(Time::FromMilliseconds(3000));
  cell.AdvanceTime(Time::FromMilliseconds(100));
  CHECK(!cell.mCell.mWorkers.contains("w1"));
  const auto next = entry.ProcessStart() + Time::FromMilliseconds(5000);
  cell.ReadRegistry({ entry.WithProcessStart(next) });
  cell.Store();
  CHECK_EQUAL(0, cell.mCell.mWorkers.at("w1").mLastEndStored);
}

/// Tasks were placed again and again on a worker of which only an earlier process was known, while
/// a poll of that one was unanswered.
TEST(Workers, WorkerWithAnotherProcessGetsNoTaskBeforeThatOneIsKnown)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.AdvanceTime(Time::FromMilliseconds(300));
  cell.mCell.mWorkers.at("w1").mPollInFlight = true;
  cell.TakePolls();
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::OtherProcess);
  cell.AdvanceTimeStoring(Time::FromMilliseconds(400));
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.TakePolls().size());
}

/// The refusal of a call to an earlier process, by another worker at its address, ended the runs of
/// the next one.
TEST(Workers, RefusalOfAnEarlierProcessesCallDoesNotRetireTheNextOne)
{
  CellFixture cell(1);
  cell.Submit("a", { CellFixture::Step(1) });
  cell.TakeStarts();
  const auto early = CellFixture::Run("a", 0, 1);
  cell.Started("w1", early, OrderOutcome::Unanswered);
  const auto next = Time::FromMilliseconds(7777);
  cell.AdvanceTime(Time::FromMilliseconds(100));
  cell.ReadRegistry({ cell.mCell.mWorkers.at("w1").mRegistration.WithProcessStart(next) });
  cell.Poll("w1", {}, {}, next);
  cell.Submit("b", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("b", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.Poll("w1", { CellFixture::Running(run) }, {}, next);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(early));
  cell.Started("w1", early, OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
  CHECK(cell.mCell.mWorkers.at("w1").mHealth == WorkerHealth::Reachable);
}

/// A successor takes what is left of a lease for one lease time at most. A start to a worker whose
/// slow clock had not been read for long brought a lease that ended later.
TEST(Workers, LeaseOfAnIdleWorkerIsReckonedOnTheSlowestClock)
{
  CellFixture cell(1);
  cell.Poll("w1", {}, {});
  const auto idle = Time::FromSeconds(50);
  cell.AdvanceTime(idle);
  cell.mCell.mConfirmedAt = cell.mNow;
  const auto& worker = cell.mCell.mWorkers.at("w1");
  const auto slowClock = worker.mWorkerClock + idle * 98 / 100;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  const auto slack = Time::FromMilliseconds(100);
  CHECK(starts.front().LeaseUntil() <= slowClock + cell.mCell.mSettings.Lease() + slack);
}

/// An owner that had stood still sent a start when its authority was over and a successor had
/// placed the task again.
TEST(Workers, StoredStartIsNotSentByAnOwnerThatIsNoLongerConfirmed)
{
  CellFixture cell(1);
  cell.SubmitUnstored("j", { CellFixture::Step(1) });
  cell.Store();
  cell.AdvanceTime(Time::FromMilliseconds(20));
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1").mRuns.size());
  cell.mNow = cell.mNow + cell.mCell.mSettings.AuthorityTimeout() + Time::FromMilliseconds(1);
  cell.Store();
  CHECK(cell.TakeStarts().empty());
}
