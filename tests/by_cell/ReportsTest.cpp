// A worker lists a part of its ends at a time. Runs whose ends were still to be listed counted as
// lost: they were stopped, and tasks that were done were started again.

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "by_cell/CellFixture.h"
#include "by_cell/ReportedState.h"

using namespace by;

namespace {

constexpr std::uint32_t kTasks = 4;

RunId
Run(std::uint32_t aIndex)
{
  return CellFixture::Run("j", aIndex, 1);
}

EndedRun
Done(std::uint64_t aNumber, std::uint32_t aIndex)
{
  return CellFixture::Ended(aNumber, Run(aIndex), RunEnd::Done);
}

/// Submits a job whose tasks all run on one worker, and a second one that waits for room.
void
StartTasks(CellFixture& aCell)
{
  aCell.Submit("j", { CellFixture::Step(kTasks) });
  CHECK_EQUAL(kTasks, aCell.TakeStarts().size());
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    aCell.Started("w1", Run(i), OrderOutcome::Accepted);
  }
  aCell.Submit("k", { CellFixture::Step(1) });
  aCell.TakeStarts();
}

std::size_t
CountRuns(const CellFixture& aCell)
{
  const auto& runs = aCell.mCell.mWorkers.at("w1").mRuns;
  return static_cast<std::size_t>(std::count_if(
    runs.begin(), runs.end(), [](const auto& aEntry) { return aEntry.first.mTask.Job() == "j"; }));
}

/// @returns how many starts of the first job's tasks were sent since the last call.
std::size_t
CountRestarts(CellFixture& aCell)
{
  const auto starts = aCell.TakeStarts();
  return static_cast<std::size_t>(
    std::count_if(starts.begin(), starts.end(), [](const StartRun& aStart) {
      return aStart.Task().Job() == "j";
    }));
}

} // namespace

TEST_GROUP(Reports){};

TEST(Reports, RunWhoseEndIsNotListedYetIsNotTakenForLost)
{
  CellFixture cell(1);
  StartTasks(cell);
  cell.Poll("w1", {}, { Done(1, 0), Done(2, 1) });
  cell.StoreAll();
  CHECK(cell.TakeStops().empty());
  CHECK_EQUAL(2, CountRuns(cell));
  cell.Poll("w1", {}, { Done(3, 2) });
  cell.StoreAll();
  CHECK(cell.TakeStops().empty());
  cell.Poll("w1", {}, { Done(4, 3) });
  cell.StoreAll();
  CHECK(cell.TakeStops().empty());
  CHECK_EQUAL(0, CountRestarts(cell));
  CHECK(ReportedState(cell, "j") == JobState::Completed);
}

TEST(Reports, SuccessorWaitsForAllEndsOfTheRunsThatItInherits)
{
  CellFixture cell(1);
  StartTasks(cell);
  auto next = cell.Successor();
  next.Poll("w1", {}, { Done(1, 0), Done(2, 1) });
  next.StoreAll();
  CHECK_EQUAL(0, CountRestarts(next));
  next.Poll("w1", {}, { Done(3, 2), Done(4, 3) });
  next.StoreAll();
  CHECK_EQUAL(0, CountRestarts(next));
  CHECK(next.TakeStops().empty());
  CHECK(ReportedState(next, "j") == JobState::Completed);
}

TEST(Reports, RoomOfAStoppedRunIsHeldUntilItsEndIsKnown)
{
  CellFixture cell(1);
  StartTasks(cell);
  cell.Call(JobCallKind::Cancel, "j");
  CHECK_EQUAL(kTasks, cell.TakeStops().size());
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    cell.Stopped("w1", Run(i), OrderOutcome::Accepted);
  }
  const auto stopped = [](std::uint64_t aNumber, std::uint32_t aIndex) {
    return CellFixture::Ended(aNumber, Run(aIndex), RunEnd::Stopped);
  };
  cell.Poll("w1", {}, { stopped(1, 0) });
  CHECK_EQUAL(kTasks - 1, CountRuns(cell));
  cell.Poll("w1", {}, { stopped(2, 1), stopped(3, 2), stopped(4, 3) });
  CHECK_EQUAL(0, CountRuns(cell));
}

TEST(Reports, RunThatIsGoneIsFoundByAReportWithoutEnds)
{
  CellFixture cell(1);
  StartTasks(cell);
  cell.Poll(
    "w1",
    { CellFixture::Running(Run(1)), CellFixture::Running(Run(2)), CellFixture::Running(Run(3)) },
    {});
  const auto stops = cell.TakeStops();
  CHECK_EQUAL(1, stops.size());
  CHECK(stops.front().Task() == Run(0).mTask);
  cell.Stopped("w1", Run(0), OrderOutcome::Accepted);
  cell.Poll(
    "w1",
    { CellFixture::Running(Run(1)), CellFixture::Running(Run(2)), CellFixture::Running(Run(3)) },
    {});
  CHECK_FALSE(cell.mCell.mWorkers.at("w1").mRuns.contains(Run(0)));
  cell.StoreAll();
  CHECK_EQUAL(1, CountRestarts(cell));
}

/// A busy worker has a new end in each report.
TEST(Reports, RunThatIsGoneIsFoundThoughEveryReportListsAnEnd)
{
  CellFixture cell(1);
  StartTasks(cell);
  cell.Poll("w1", { CellFixture::Running(Run(2)), CellFixture::Running(Run(3)) }, { Done(1, 1) });
  CHECK(cell.TakeStops().empty());
  // This run was alive by the first report, so its end comes after all that the report left out.
  cell.Poll("w1", { CellFixture::Running(Run(3)) }, { Done(2, 2) });
  const auto stops = cell.TakeStops();
  CHECK_EQUAL(1, stops.size());
  CHECK(stops.front().Task() == Run(0).mTask);
}

TEST(Reports, EndsThatAreListedAgainProveNothing)
{
  CellFixture cell(1);
  StartTasks(cell);
  for (int n = 0; n < 5; ++n) {
    cell.Poll("w1", {}, { Done(1, 0), Done(2, 1) });
    CHECK(cell.TakeStops().empty());
    CHECK_EQUAL(2, CountRuns(cell));
  }
}

TEST(Reports, NextPartOfTheEndsIsFetchedAtOnce)
{
  CellFixture cell(1);
  StartTasks(cell);
  cell.Poll("w1", {}, { Done(1, 0), Done(2, 1) });
  cell.TakePolls();
  cell.StoreAll();
  cell.AdvanceTime(cell.mCell.mSettings.MinPollInterval());
  const auto polls = cell.TakePolls();
  CHECK_EQUAL(1, polls.size());
  CHECK_EQUAL(2, polls.front().Acknowledged());
  CHECK(polls.front().Wait() == Time());
}

/// A gang that waited for capacity was started again while a run of one of its members, which had
/// counted as over, was still there: it had become known from a report, and the gang stayed ready.
TEST(Reports, GangIsNotStartedWhileARunOfAMemberIsStillThere)
{
  CellFixture cell(2);
  auto step = CellFixture::Step(2);
  step.mGang = true;
  step.mDemand = Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 64 }).value();
  cell.Submit("j", { step });
  for (const auto& start : cell.TakeStarts()) {
    cell.Started(start.Worker(), { start.Task(), start.Run() }, OrderOutcome::Accepted);
  }
  const auto hasFirst = [&](const std::string& aWorker) {
    return cell.mCell.mWorkers.at(aWorker).mRuns.contains(CellFixture::Run("j", 0, 1));
  };
  const std::string lost = hasFirst("w1") ? "w1" : "w2";
  const std::string other = hasFirst("w1") ? "w2" : "w1";
  cell.LoseWorker(lost);
  cell.AdvanceTimeStoring(Time::FromSeconds(7));
  cell.Poll(other, {}, { CellFixture::Ended(1, CellFixture::Run("j", 1, 1), RunEnd::GangBroken) });
  cell.AdvanceTimeStoring(Time::FromMilliseconds(100));
  CHECK(cell.TakeStarts().empty());
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Poll(lost, { CellFixture::Running(run) }, {});
  cell.ReadRegistry({ cell.mCell.mWorkers.at("w1").mRegistration,
                      cell.mCell.mWorkers.at("w2").mRegistration,
                      cell.mCell.mWorkers.at("w1").mRegistration.WithId("w3") });
  cell.Advance();
  cell.Poll("w3", {}, {});
  cell.AdvanceTimeStoring(Time::FromMilliseconds(100));
  CHECK(cell.TakeStarts().empty());
  cell.Poll(lost, {}, { CellFixture::Ended(1, run, RunEnd::Stopped) });
  cell.AdvanceTimeStoring(Time::FromMilliseconds(100));
  CHECK_EQUAL(2, cell.TakeStarts().size());
}
