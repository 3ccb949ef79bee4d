#include "by_cell/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// One worker and a job of two long-running tasks, both of which have failed once.
struct QuarantinedWorker : CellFixture
{
  QuarantinedWorker()
    : CellFixture(1)
  {
    auto step = Step(2);
    step.mLongRunning = true;
    Submit("j", { step });
    TakeStarts();
    Poll("w1",
         {},
         { Ended(1, Run("j", 0, 1), RunEnd::Failed), Ended(2, Run("j", 1, 1), RunEnd::Failed) });
    StoreAll();
  }

  /// Lets time pass while the worker reports runs of the job at work.
  void PlayRuns(Time aTime, const std::vector<RunningRun>& aRuns)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      Poll("w1", aRuns, {});
      AdvanceTimeStoring(Time::FromMilliseconds(100));
    }
  }

  std::vector<RunId> TakeStartedRuns()
  {
    std::vector<RunId> runs;
    for (const auto& start : TakeStarts()) {
      runs.push_back({ start.Task(), start.Run() });
      Started("w1", runs.back(), OrderOutcome::Accepted);
    }
    return runs;
  }
};

} // namespace

/// Long-running tasks were not started again, since the quarantine of a worker on which one runs
/// never ended.
TEST_GROUP(Quarantine){};

TEST(Quarantine, LongRunningTaskAtWorkProvesItsWorker)
{
  QuarantinedWorker cell;
  cell.PlayRuns(Time::FromMilliseconds(2500), {});
  const auto probe = cell.TakeStartedRuns();
  CHECK_EQUAL(1, probe.size());
  cell.PlayRuns(Time::FromMilliseconds(1500), { CellFixture::Running(probe.front(), 100) });
  CHECK_EQUAL(1, cell.TakeStartedRuns().size());
}

TEST(Quarantine, LongRunningTaskThatIsNotAtWorkProvesNothing)
{
  QuarantinedWorker cell;
  cell.PlayRuns(Time::FromMilliseconds(2500), {});
  const auto probe = cell.TakeStartedRuns();
  CHECK_EQUAL(1, probe.size());
  cell.PlayRuns(Time::FromMilliseconds(1500), { CellFixture::Running(probe.front(), 50) });
  CHECK(cell.TakeStartedRuns().empty());
}

TEST(Quarantine, WorkerIsProbedBesideARunFromBefore)
{
  CellFixture cell(1);
  auto step = CellFixture::Step(3);
  step.mLongRunning = true;
  cell.Submit("j", { step });
  cell.TakeStarts();
  const auto kept = CellFixture::Run("j", 0, 1);
  cell.Started("w1", kept, OrderOutcome::Accepted);
  cell.Poll("w1",
            { CellFixture::Running(kept, 100) },
            { CellFixture::Ended(1, CellFixture::Run("j", 1, 1), RunEnd::Failed),
              CellFixture::Ended(2, CellFixture::Run("j", 2, 1), RunEnd::Failed) });
  cell.StoreAll();
  for (int i = 0; i < 25; ++i) {
    cell.Poll("w1", { CellFixture::Running(kept, 100) }, {});
    cell.AdvanceTimeStoring(Time::FromMilliseconds(100));
  }
  CHECK_EQUAL(1, cell.TakeStarts().size());
}
