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
