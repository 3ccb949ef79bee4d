#include "by_cell/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// A process start later than that of the fixture's worker.
constexpr Time kLater = Time::FromMilliseconds(7777);

WorkerRegistration
EntryOf(const CellFixture& aCell, Time aProcessStart)
{
  return aCell.mCell.mWorkers.at("w1").mRegistration.WithProcessStart(aProcessStart);
}

} // namespace

TEST_GROUP(Incarnations){};

// The late answer to an order for the earlier process, from where another worker answers by then,
// ended the runs of the current process while they ran.
TEST(Incarnations, LateAnswersToOrdersForAnEarlierProcessDoNotRetireTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  cell.ReadRegistry({ EntryOf(cell, kLater).WithEndpoint(endpoint) });
  cell.Poll("w1", {}, {}, kLater);
  cell.Submit("k", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("k", 0, 1);
  cell.Started("w1", run, OrderOutcome::Accepted);
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mHealth == WorkerHealth::Reachable);
  CHECK(cell.mCell.mWorkers.at("w1").mRuns.contains(run));
}

TEST(Incarnations, LateAnswersToStartsForAnEarlierProcessSayNothingOfTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Poll("w1", {}, {}, kLater);
  cell.Started("w1", CellFixture::Run("j", 0, 1), OrderOutcome::NoCapacity);
  cell.Started("w1", CellFixture::Run("j", 1, 1), OrderOutcome::Unanswered);
  const auto& worker = cell.mCell.mWorkers.at("w1");
  CHECK(worker.mQuarantinedUntil == Time());
  CHECK(worker.mSilentSince == Time::Never());
  CHECK(!worker.mRuns.contains(CellFixture::Run("j", 0, 1)));
  CHECK(worker.mRuns.contains(CellFixture::Run("j", 1, 1)));
}

TEST(Incarnations, LateAnswerToAStopForAnEarlierProcessDoesNotRetireTheNext)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(1) });
  const auto run = CellFixture::Run("j", 0, 1);
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStops().size());
  cell.ReadRegistry({ EntryOf(cell, kLater) });
  cell.Stopped("w1", run, OrderOutcome::WrongWorker);
  CHECK(cell.mCell.mWorkers.at("w1").mHealth != WorkerHealth::LeaseExpired);
}

// Between the answer of a new process and its entry the worker's former capacity and labels were
// taken for those of the process, which may be of another kind.
TEST(Incarnations, ProcessGetsNoStartsBeforeItsEntryIsRead)
{
  CellFixture cell(1);
  cell.Poll("w1", {}, {}, kLater);
  cell.Submit("j", { CellFixture::Step(4) });
  CHECK(cell.TakeStarts().empty());
  const auto small = Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 1024 }).value();
  cell.ReadRegistry({ EntryOf(cell, kLater).WithCapacity(small) });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}
