#include "by_cell/CellFixture.h"

#include <CppUTest/TestHarness.h>

#include "by_cell/by_cell.h"

using namespace by;

namespace {

constexpr Time kWithin = Time::FromMilliseconds(20000);
/// Longer than the evacuation of a machine may take in these waves.
constexpr Time kEvacuationBound = Time::FromMilliseconds(12000);
/// Slightly longer than a new owner waits before its first maintenance order.
constexpr Time kMachineHoldoff = Time::FromMilliseconds(3100);

std::string
MachineOf(const std::string& aWorker)
{
  return "m-" + aWorker;
}

void
Register(CellFixture& aCell, const WorkerRegistration& aEntry)
{
  HandleWorkersChanged(aCell.mCell,
                       WorkersChanged::Create({ .mPresent = { aEntry } }).value(),
                       aCell.mNow,
                       aCell.mOut);
}

/// Gives every worker a machine of its own.
CellFixture
CellOnMachines(int aWorkers)
{
  CellFixture cell(aWorkers);
  for (int n = 1; n <= aWorkers; ++n) {
    const auto id = "w" + std::to_string(n);
    Register(cell, cell.mCell.mWorkers.at(id).mRegistration.WithMachine(MachineOf(id)));
  }
  cell.AdvanceTimeStoring(kMachineHoldoff);
  cell.mOut.clear();
  return cell;
}

MaintenanceWave
WaveOf(int aWorkers, std::uint32_t aLimit)
{
  MaintenanceWave::Fields fields{
    .mNumber = 1, .mMachines = {}, .mWithin = kWithin, .mLimit = aLimit
  };
  for (int n = 1; n <= aWorkers; ++n) {
    fields.mMachines.push_back(MachineOf("w" + std::to_string(n)));
  }
  return MaintenanceWave::Create(std::move(fields)).value();
}

void
RequestWave(CellFixture& aCell, const MaintenanceWave& aWave)
{
  HandleWave(aCell.mCell, aWave, aCell.mNow, aCell.mOut);
}

void
Answer(CellFixture& aCell, const std::string& aMachine, MaintenanceOutcome aOutcome)
{
  HandleMaintenanceAnswered(
    aCell.mCell,
    MaintenanceAnswered::Create({ .mMachine = aMachine, .mWave = 1, .mOutcome = aOutcome }).value(),
    aCell.mNow,
    aCell.mOut);
}

/// Registers a machine's worker with a new process start after the maintenance.
void
ReturnFromMaintenance(CellFixture& aCell, const std::string& aWorker)
{
  aCell.AdvanceTimeStoring(aCell.mCell.mSettings.MaintenanceTime());
  const auto& old = aCell.mCell.mWorkers.at(aWorker).mRegistration;
  Register(aCell, old.WithProcessStart(old.ProcessStart() + Time::FromSeconds(100)));
}

/// Confirms all ordered starts, and reports the runs as serving.
void
ConfirmAllStarts(CellFixture& aCell)
{
  std::map<std::string, std::vector<RunningRun>> running;
  for (const auto& start : aCell.TakeStarts()) {
    const RunId run{ start.Task(), start.Run() };
    aCell.Started(start.Worker(), run, OrderOutcome::Accepted);
    running[start.Worker()].push_back(CellFixture::Running(run, 100));
  }
  for (const auto& [worker, runs] : running) {
    aCell.Poll(worker, runs, {});
  }
}

} // namespace

TEST_GROUP(Waves){};

TEST(Waves, MaintenanceIsOrderedOnlyOnceItIsStored)
{
  auto cell = CellOnMachines(1);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTime(Time::FromSeconds(1));
  CHECK(cell.TakeMaintenanceOrders().empty());
  cell.Store();
  CHECK_EQUAL(1, cell.TakeMaintenanceOrders().size());
}

TEST(Waves, NoMoreMachinesAreDownThanTheWaveAllows)
{
  auto cell = CellOnMachines(3);
  RequestWave(cell, WaveOf(3, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK_EQUAL(1, cell.TakeMaintenanceOrders().size());
  Answer(cell, MachineOf("w1"), MaintenanceOutcome::Started);
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK(cell.TakeMaintenanceOrders().empty());
  ReturnFromMaintenance(cell, "w1");
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  const auto next = cell.TakeMaintenanceOrders();
  CHECK_EQUAL(1, next.size());
  CHECK(next.front().Machine() == MachineOf("w2"));
}

TEST(Waves, OrderWithoutAnAnswerCountsAsDownAndIsSentAgain)
{
  auto cell = CellOnMachines(2);
  RequestWave(cell, WaveOf(2, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK_EQUAL(1, cell.TakeMaintenanceOrders().size());
  Answer(cell, MachineOf("w1"), MaintenanceOutcome::Unanswered);
  cell.AdvanceTimeStoring(Time::FromSeconds(2));
  const auto again = cell.TakeMaintenanceOrders();
  CHECK_EQUAL(1, again.size());
  CHECK(again.front().Machine() == MachineOf("w1"));
}

TEST(Waves, EntryThatWasWrittenBeforeTheMachineWentDownDoesNotBringItBack)
{
  auto cell = CellOnMachines(2);
  RequestWave(cell, WaveOf(2, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  cell.TakeMaintenanceOrders();
  Answer(cell, MachineOf("w1"), MaintenanceOutcome::Started);
  Register(cell, cell.mCell.mWorkers.at("w1").mRegistration);
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK(cell.TakeMaintenanceOrders().empty());
}

TEST(Waves, SuccessorCountsAnOrderedMachineAsDownAndOrdersItAgain)
{
  auto cell = CellOnMachines(2);
  RequestWave(cell, WaveOf(2, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  auto next = cell.Successor();
  RequestWave(next, WaveOf(2, 1));
  next.AdvanceTimeStoring(kMachineHoldoff + Time::FromSeconds(1));
  const auto orders = next.TakeMaintenanceOrders();
  CHECK_EQUAL(1, orders.size());
  CHECK(orders.front().Machine() == MachineOf("w1"));
  CHECK_EQUAL(8, orders.front().Epoch());
}

TEST(Waves, NewOwnerWaitsBeforeItsFirstMaintenanceOrder)
{
  auto cell = CellOnMachines(1);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  auto next = cell.Successor();
  RequestWave(next, WaveOf(1, 1));
  next.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK(next.TakeMaintenanceOrders().empty());
}

TEST(Waves, EvacuatingMachineGetsNoTasks)
{
  auto cell = CellOnMachines(1);
  cell.Submit("j", { CellFixture::Step(1) });
  ConfirmAllStarts(cell);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  cell.Submit("k", { CellFixture::Step(1) });
  CHECK(cell.TakeStarts().empty());
  CHECK(cell.TakeMaintenanceOrders().empty());
}

TEST(Waves, RunsThatDoNotEndAreNotWaitedForBeyondTheMachinesShareOfTheTime)
{
  auto cell = CellOnMachines(1);
  cell.Submit("j", { CellFixture::Step(1) });
  ConfirmAllStarts(cell);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(kWithin);
  CHECK(!cell.TakeMaintenanceOrders().empty());
}

TEST(Waves, LongRunningTasksAreMovedAsFarAsTheirBudgetAllows)
{
  auto cell = CellOnMachines(2);
  auto step = CellFixture::Step(4);
  step.mLongRunning = true;
  step.mDisruptionBudget = 1;
  step.mSpreadLimit = 2;
  cell.Submit("j", { step });
  ConfirmAllStarts(cell);
  RequestWave(cell, WaveOf(2, 1));
  cell.AdvanceTimeStoring(kEvacuationBound);
  // The stopped task has not restarted, so the budget protects the other one on its worker, and the
  // machine stays up.
  CHECK_EQUAL(1, cell.TakeStops().size());
  CHECK(cell.TakeMaintenanceOrders().empty());
}

TEST(Waves, WaveIsCompletedOnlyOnceEveryMachineIsBack)
{
  auto cell = CellOnMachines(2);
  RequestWave(cell, WaveOf(2, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  const auto running = cell.TakePublishedWaves();
  CHECK_EQUAL(1, running.size());
  CHECK(!running.front().Completed());
  HandleWavePublished(
    cell.mCell,
    WavePublished::Create({ .mNumber = 1, .mCompleted = false, .mStored = true }).value(),
    cell.mNow,
    cell.mOut);
  for (const auto* worker : { "w1", "w2" }) {
    CHECK(cell.TakePublishedWaves().empty());
    Answer(cell, MachineOf(worker), MaintenanceOutcome::Started);
    ReturnFromMaintenance(cell, worker);
    cell.AdvanceTimeStoring(Time::FromSeconds(1));
  }
  const auto completed = cell.TakePublishedWaves();
  CHECK_EQUAL(1, completed.size());
  CHECK(completed.front().Completed());
}

TEST(Waves, SuccessorDoesNotRepeatACompletedWave)
{
  auto cell = CellOnMachines(1);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  Answer(cell, MachineOf("w1"), MaintenanceOutcome::Started);
  ReturnFromMaintenance(cell, "w1");
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  auto next = cell.Successor();
  RequestWave(next, WaveOf(1, 1));
  next.AdvanceTimeStoring(kMachineHoldoff + Time::FromSeconds(1));
  CHECK(next.TakeMaintenanceOrders().empty());
}

TEST(Waves, MachineThatDoesNotExistIsSkipped)
{
  auto cell = CellOnMachines(1);
  RequestWave(cell,
              MaintenanceWave::Create(
                { .mNumber = 1, .mMachines = { "none" }, .mWithin = kWithin, .mLimit = 1 })
                .value());
  cell.AdvanceTimeStoring(Time::FromSeconds(3));
  CHECK_EQUAL(1, cell.TakeMaintenanceOrders().size());
  Answer(cell, "none", MaintenanceOutcome::NoMachine);
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK(cell.mCell.mWaves.at(1).mCompleted);
}

TEST(Waves, NewerOwnerAtAMachineFencesTheCell)
{
  auto cell = CellOnMachines(1);
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  Answer(cell, MachineOf("w1"), MaintenanceOutcome::Fenced);
  CHECK(cell.mCell.mFenced);
}

TEST(Waves, RunThatCheckpointsIsStoppedBeforeItsMachineGoesDown)
{
  auto cell = CellOnMachines(1);
  auto saved = CellFixture::Step(1);
  saved.mCheckpointing = true;
  saved.mEstimate = Time::FromSeconds(100);
  cell.Submit("s", { saved });
  cell.Started("w1", CellFixture::Run("s", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1", { CellFixture::Running(CellFixture::Run("s", 0, 1), 0) }, {});
  RequestWave(cell, WaveOf(1, 1));
  cell.AdvanceTimeStoring(Time::FromSeconds(15));
  CHECK(cell.TakeStops().empty());
  cell.AdvanceTimeStoring(Time::FromSeconds(2));
  CHECK_EQUAL(1, cell.TakeStops().size());
}

TEST_GROUP(Drain){};

TEST(Drain, LongRunningTaskIsMovedBeforeItsWorkerLeaves)
{
  CellFixture cell(1);
  auto service = CellFixture::Step(1);
  service.mLongRunning = true;
  cell.Submit("j", { service });
  ConfirmAllStarts(cell);
  Register(cell, cell.mCell.mWorkers.at("w1").mRegistration.WithDraining(true));
  cell.AdvanceTime(Time::FromMilliseconds(500));
  CHECK_EQUAL(1, cell.TakeStops().size());
}

TEST(Drain, OtherRunsAreLeftToEnd)
{
  CellFixture cell(1);
  auto step = CellFixture::Step(1);
  step.mCheckpointing = true;
  step.mEstimate = Time::FromSeconds(10);
  cell.Submit("j", { step });
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::Accepted);
  cell.Poll("w1", { CellFixture::Running(CellFixture::Run("j", 0, 1), 10) }, {});
  Register(cell, cell.mCell.mWorkers.at("w1").mRegistration.WithDraining(true));
  cell.AdvanceTime(Time::FromMilliseconds(1900));
  CHECK(cell.TakeStops().empty());
}
