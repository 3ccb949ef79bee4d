#include "by_cell/CellFixture.h"

#include "absl/strings/str_cat.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// A step that needs more than any worker of the fixture has.
JobStep::Fields
LargeStep()
{
  auto step = CellFixture::Step(1);
  step.mDemand = Resources::Create({ .mCpuMillis = 1000000, .mMemoryMb = 1 }).value();
  return step;
}

/// Submits jobs that are placed before all later ones.
void
SubmitLargeJobs(CellFixture& aCell, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aCell.SubmitUnstored(absl::StrCat("large", i), { LargeStep() });
  }
  aCell.StoreAll();
}

} // namespace

/// Jobs that can never be done stood first in each placement pass, which ended before it came to
/// those that could run.
TEST_GROUP(Feasibility){};

TEST(Feasibility, InfeasibleStepsHideNoOthers)
{
  for (const int count : { 70, 500 }) {
    CellFixture cell;
    SubmitLargeJobs(cell, count);
    cell.AdvanceTimeStoring(Time::FromMilliseconds(20));
    // Late jobs move back, so the others have to be placed first while all are on time.
    cell.Submit("small", { CellFixture::Step(1) });
    const auto starts = cell.TakeStarts();
    CHECK_EQUAL(1, starts.size());
    STRCMP_EQUAL("small", starts.front().Task().Job().c_str());
  }
}

TEST(Feasibility, InfeasibleGangHidesNoOther)
{
  CellFixture cell;
  for (int i = 0; i < 70; ++i) {
    auto step = CellFixture::Step(1000);
    step.mGang = true;
    cell.SubmitUnstored(absl::StrCat("large", i), { step });
  }
  cell.StoreAll();
  auto step = CellFixture::Step(2);
  step.mGang = true;
  cell.Submit("small", { step });
  cell.PlayIdleWorkers(Time::FromMilliseconds(500));
  CHECK_EQUAL(2, cell.TakeStarts().size());
}

TEST(Feasibility, StepIsPlacedOnceAWorkerHasGrown)
{
  CellFixture cell;
  SubmitLargeJobs(cell, 1);
  cell.PlayIdleWorkers(Time::FromMilliseconds(500));
  CHECK(cell.mCell.mReady.begin()->mInfeasible);
  const auto grown = cell.mCell.mWorkers.at("w1").mRegistration.WithCapacity(LargeStep().mDemand);
  HandleWorkersChanged(
    cell.mCell, WorkersChanged::Create({ .mPresent = { grown } }).value(), cell.mNow, cell.mOut);
  cell.PlayIdleWorkers(Time::FromMilliseconds(500));
  CHECK_EQUAL(1, cell.TakeStarts().size());
}
