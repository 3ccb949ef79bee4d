#include "by_cell/CellFixture.h"
#include "by_cell/ShownState.h"

#include <CppUTest/TestHarness.h>

using namespace by;

TEST_GROUP(Workers){};

TEST(Workers, LostWorkerKeepsItsTasksUntilItsLeaseHasPassed)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  const auto worker = starts.front().Worker();
  cell.Started(worker, CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  const auto granted = starts.front().LeaseUntil() - cell.mCell.mWorkers.at(worker).mWorkerClock;
  cell.LoseWorker(worker);
  cell.Pass(granted);
  cell.Settle();
  CHECK(cell.TakeStarts().empty());
  cell.Pass(Time::FromMilliseconds(1500));
  cell.Settle();
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
  cell.mCell.mWorkers.at(worker).mLookOpen = false;
  cell.TakeLooks();
  cell.Pass(Time::FromMilliseconds(400));
  for (const auto& look : cell.TakeLooks()) {
    CHECK(look.Worker() != worker || !look.LeaseUntil());
  }
}

TEST(Workers, FailureIsCountedOnceThoughASuccessorSeesItAgain)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Look("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  cell.Settle();
  auto next = cell.Successor();
  next.Look("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  next.Settle();
  CHECK(ShownState(next, "j") == JobState::Running);
}

TEST(Workers, SuccessorTakesOverWhatRuns)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  auto next = cell.Successor();
  next.Look(worker, { CellFixture::Running(CellFixture::Run("j", 0, 1)) }, {});
  next.Settle();
  CHECK(next.TakeStarts().empty());
  CHECK(next.TakeStops().empty());
}

TEST(Workers, SuccessorStartsAgainWhatTheFencedWorkerDoesNotList)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  auto next = cell.Successor();
  next.Look("w1", {}, {});
  next.Look("w2", {}, {});
  next.Settle();
  const auto starts = next.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
  CHECK_EQUAL(8, starts.front().Epoch());
}

TEST(Workers, SuccessorWaitsForAWorkerThatDoesNotAnswer)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  const auto other = worker == "w1" ? "w2" : "w1";
  auto next = cell.Successor();
  next.Look(other, {}, {});
  next.LoseWorker(worker);
  next.Pass(next.mCell.mSettings.Lease() + next.mCell.mSettings.AuthorityTimeout());
  CHECK(next.TakeStarts().empty());
  next.Pass(Time::FromSeconds(1));
  next.Settle();
  CHECK_EQUAL(1, next.TakeStarts().size());
}

TEST(Workers, WorkerThatIsBornAnewIsOverWithAllItsRuns)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Look("w1", {}, {}, Time::FromMilliseconds(7777));
  cell.Settle();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
}

TEST(Workers, DrainingWorkerGetsNoStartThatWasPlannedBefore)
{
  CellFixture cell(1);
  cell.HandIn("j", { CellFixture::Step(1) });
  cell.Work();
  cell.Store();
  cell.mNow = cell.mNow + Time::FromMilliseconds(20);
  cell.Work();
  auto entry = cell.mCell.mWorkers.at("w1").mRegistration.WithDraining(true);
  HandleWorkersChanged(
    cell.mCell,
    WorkersChanged::Create({ .mComplete = false, .mPresent = { entry } }).value(),
    cell.mNow,
    cell.mOut);
  cell.Settle();
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, FencedOwnerSendsNothingMore)
{
  CellFixture cell(1);
  HandleLooked(cell.mCell,
               WorkerPolled::Create({ .mWorker = "w1", .mOutcome = OrderOutcome::Fenced }).value(),
               cell.mNow,
               cell.mOut);
  CHECK(cell.mCell.mFenced);
  cell.Submit("j", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, RoomOfAnUnknownRunIsNotGivenAwayAfterATakeover)
{
  // The job was cancelled under the earlier owner; how much its run takes is not known any more.
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  cell.Ask(JobCallKind::Cancel, "j");
  cell.Settle();
  auto next = cell.Successor();
  next.Look("w1", { CellFixture::Running(CellFixture::Run("j", 0, 1)) }, {});
  next.Submit("k", { CellFixture::Step(1) });
  CHECK(next.TakeStarts().empty());
  next.Look("w1", {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Stopped) });
  next.Settle();
  CHECK_EQUAL(1, next.TakeStarts().size());
}

TEST(Workers, OldEntryOfTheRegistryDoesNotEndAWorker)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  auto old = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.Look("w1",
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
  cell.Settle();
  CHECK(cell.TakeStarts().empty());
}

TEST(Workers, StartWithoutAnAnswerIsBarredAtTheWorkersNextLife)
{
  // The next life has seen no epoch and no stop, and would carry the late start out.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started(worker, run, OrderOutcome::Unanswered);
  cell.Look(worker, {}, {}, Time::FromMilliseconds(7777));
  cell.Settle();
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.TakeStops().size());
  cell.Stopped(worker, run, OrderOutcome::Accepted);
  cell.Look(worker, {}, {}, Time::FromMilliseconds(7777));
  cell.Settle();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, starts.front().Run());
}

TEST(Workers, DoneRunCountsAlthoughItsWorkerWasGivenUp)
{
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  cell.Started(worker, CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.LoseWorker(worker);
  cell.Pass(Time::FromSeconds(6));
  cell.Settle();
  CHECK_EQUAL(1, cell.TakeStarts().size());
  cell.Look(worker, {}, { CellFixture::Ended(1, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  cell.Settle();
  CHECK(ShownState(cell, "j") == JobState::Completed);
}

TEST(Workers, SuccessorKnowsOfARunThatWasTakenBackAndMayStillRun)
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
  cell.Look(lost.Worker(), {}, { CellFixture::Ended(1, { lost.Task(), 1 }, RunEnd::Stopped) });
  cell.Settle();
  auto next = cell.Successor();
  next.Look(lost.Worker(), {}, {});
  next.Settle();
  CHECK(next.TakeStarts().empty());
  next.Look(kept.Worker(), { CellFixture::Running(keptRun) }, {});
  next.Settle();
  CHECK(next.TakeStarts().empty());
  CHECK_EQUAL(1, next.TakeStops().size());
  next.Look(kept.Worker(), {}, { CellFixture::Ended(1, keptRun, RunEnd::Stopped) });
  next.Settle();
  CHECK_EQUAL(2, next.TakeStarts().size());
}

TEST(Workers, WorkerWhoseAddressAnotherAnswersAtIsOverAtOnce)
{
  // A successor kept the runs that it had inherited there, and looked again without a pause.
  CellFixture cell;
  cell.Submit("j", { CellFixture::Step(1) });
  const auto worker = cell.TakeStarts().front().Worker();
  auto next = cell.Successor();
  next.Look(worker == "w1" ? "w2" : "w1", {}, {});
  HandleLooked(
    next.mCell,
    WorkerPolled::Create({ .mWorker = worker, .mOutcome = OrderOutcome::WrongWorker }).value(),
    next.mNow,
    next.mOut);
  next.TakeLooks();
  next.Settle();
  CHECK_EQUAL(1, next.TakeStarts().size());
  for (const auto& look : next.TakeLooks()) {
    CHECK(look.Worker() != worker);
  }
}

TEST(Workers, EndOfAnEarlierLifeIsNotAcknowledgedInTheNext)
{
  // The next life counts its ends from 1, and one that was never seen would be forgotten.
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Look("w1", {}, { CellFixture::Ended(5, CellFixture::Run("j", 0, 1), RunEnd::Done) });
  cell.Look("w1", {}, {}, Time::FromMilliseconds(7777));
  cell.Settle();
  CHECK_EQUAL(0, cell.mCell.mWorkers.at("w1").mEndStored);
}
