#include "by_cell/WorkerPlay.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr std::int64_t kCpu = 4000;

/// Registers a worker again, with another capacity.
void
SetCapacity(CellFixture& aCell, const std::string& aWorker, const Resources& aCapacity)
{
  const auto& entry = aCell.mCell.mWorkers.at(aWorker).mRegistration;
  const auto changed = entry.WithCapacity(aCapacity);
  HandleWorkersChanged(aCell.mCell,
                       WorkersChanged::Create({ .mPresent = { changed } }).value(),
                       aCell.mNow,
                       aCell.mOut);
}

void
SetCpu(CellFixture& aCell, const std::string& aWorker, std::int64_t aCpuMillis)
{
  const auto& entry = aCell.mCell.mWorkers.at(aWorker).mRegistration;
  SetCapacity(aCell, aWorker, entry.Capacity().WithCpuMillis(aCpuMillis));
}

/// Submits a job whose tasks are assigned, while the assignment is not stored.
void
Assign(CellFixture& aCell, std::uint32_t aTasks, bool aGang = false)
{
  auto step = CellFixture::Step(aTasks);
  step.mGang = aGang;
  aCell.SubmitUnstored("j", { step });
  aCell.Advance();
  aCell.Store();
  aCell.mNow = aCell.mNow + Time::FromMilliseconds(20);
  aCell.Advance();
  CHECK(aCell.mCell.mInFlight.has_value());
  CHECK_EQUAL(aTasks, aCell.mCell.mInFlight->mStarts.size());
}

} // namespace

/// The capacity of a worker shrinks and grows while it runs.
TEST_GROUP(Capacity){};

/// A start that was planned before the worker shrank took it over its capacity.
TEST(Capacity, StartThatNoLongerFitsIsDropped)
{
  CellFixture cell(1);
  Assign(cell, 4);
  SetCpu(cell, "w1", 2000);
  cell.Store();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(2, starts.size());
}

TEST(Capacity, NoMemberOfAGangStartsWhereOneNoLongerFits)
{
  CellFixture cell(2);
  Assign(cell, 8, true);
  SetCpu(cell, "w2", 1000);
  cell.Store();
  CHECK(cell.TakeStarts().empty());
}

/// A start that went unanswered was sent again although it no longer fitted.
TEST(Capacity, UnansweredStartThatNoLongerFitsIsWithdrawn)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.TakeStarts();
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Started("w1", run, OrderOutcome::Unanswered);
  cell.Poll("w1", {}, {});
  SetCpu(cell, "w1", 500);
  cell.AdvanceTime(Time::FromMilliseconds(300));
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1, cell.TakeStops().size());
}

TEST(Capacity, RunsOfAWorkerThatShrankGoOn)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(4) });
  cell.TakeStarts();
  for (std::uint32_t i = 0; i < 4; ++i) {
    cell.Started("w1", CellFixture::Run("j", i, 1), OrderOutcome::Accepted);
  }
  SetCpu(cell, "w1", 0);
  cell.AdvanceTime(Time::FromMilliseconds(500));
  CHECK(cell.TakeStops().empty());
  CHECK_EQUAL(4, cell.mCell.mWorkers.at("w1").mRuns.size());
}

/// What still runs there counts until its end is reported.
TEST(Capacity, WorkerThatShrankGetsNoTaskUntilItsRunsFit)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(3) });
  cell.TakeStarts();
  SetCpu(cell, "w1", 2000);
  cell.Submit("k", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
  const auto stays = CellFixture::Running(CellFixture::Run("j", 0, 1));
  const auto ends = CellFixture::Ended(2, CellFixture::Run("j", 2, 1), RunEnd::Done);
  cell.Poll("w1",
            { stays, CellFixture::Running(CellFixture::Run("j", 2, 1)) },
            { CellFixture::Ended(1, CellFixture::Run("j", 1, 1), RunEnd::Done) });
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  cell.Poll("w1", { stays }, { ends });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Capacity, JobThatFitsNowhereWaitsUntilAWorkerGrows)
{
  CellFixture cell(1);
  SetCpu(cell, "w1", 500);
  cell.Submit("j", { CellFixture::Step(1) });
  cell.AdvanceTimeStoring(Time::FromSeconds(30));
  CHECK(cell.TakeStarts().empty());
  CHECK(cell.mCell.mJobs.contains("j"));
  SetCpu(cell, "w1", kCpu);
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

/// The demand of a run that the owner does not know stays unknown when its worker grows.
TEST(Capacity, GrowthOfAWorkerWithAnUnknownRunIsNotUsed)
{
  CellFixture cell(1);
  cell.Poll("w1", { CellFixture::Running(CellFixture::Run("unknown", 0, 1)) }, {});
  SetCapacity(
    cell, "w1", Resources::Create({ .mCpuMillis = 4 * kCpu, .mMemoryMb = 4 * kCpu }).value());
  cell.Submit("j", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
}

/// A successor counts inherited runs against the capacity that the registry shows it.
TEST(Capacity, SuccessorCountsInheritedRunsAgainstAWorkerThatShrank)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  SetCpu(cell, "w1", 2000);
  auto next = cell.Successor();
  next.Poll("w1",
            { CellFixture::Running(CellFixture::Run("j", 0, 1)),
              CellFixture::Running(CellFixture::Run("j", 1, 1)) },
            {});
  next.Submit("k", { CellFixture::Step(1) });
  CHECK(next.TakeStarts().empty());
}

TEST(Capacity, TasksMoveToOtherWorkersWhileCapacityChanges)
{
  WorkerPlay play(3);
  for (int n = 0; n < 30; ++n) {
    play.Submit("j" + std::to_string(n), { CellFixture::Step(3) });
    play.SetCpu("w1", n % 3 == 0 ? 0 : kCpu);
    play.SetCpu("w2", n % 2 == 0 ? 1000 : kCpu);
    play.Play(Time::FromMilliseconds(100));
  }
  play.Play(Time::FromSeconds(20));
  for (int n = 0; n < 30; ++n) {
    CHECK(play.StateOf("j" + std::to_string(n)) == JobState::Completed);
  }
}
