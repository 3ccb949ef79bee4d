#include "by_cell/GangPlay.h"
#include "by_cell/TakeDetails.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

OrderOutcome
RefuseAll(const StartRun&)
{
  return OrderOutcome::Unhealthy;
}

/// One worker with room for four tasks.
struct OneWorker : CellFixture
{
  OneWorker()
    : CellFixture(1)
  {
  }

  /// Submits a job that takes two tasks' room.
  void SubmitPair(const std::string& aJob, bool aIsGang)
  {
    auto step = Step(2);
    step.mGang = aIsGang;
    Submit(aJob, { step });
  }

  /// Reports that a task of a job has failed in its first run.
  void Fail(const std::string& aJob, std::uint32_t aIndex)
  {
    Poll("w1", {}, { Ended(++mLastEnd, Run(aJob, aIndex, 1), RunEnd::Failed) });
  }

  std::uint32_t Failures() const { return mCell.mWorkers.at("w1").mConsecutiveFailures; }
  bool IsQuarantined() const { return mCell.mWorkers.at("w1").mQuarantinedUntil > Time(); }

  std::uint64_t mLastEnd{ 0 };
};

} // namespace

/// A gang had nothing running beside free capacity: one failed run of it set sound workers aside.
/// The log did not tell whether it waited for capacity or for quarantined workers, nor which runs
/// had led to the quarantine.
TEST_GROUP(GangQuarantine){};

TEST(GangQuarantine, LogNamesTheFailuresThatSetAWorkerAside)
{
  CellFixture cell(1);
  cell.Submit("j", { CellFixture::Step(2) });
  cell.Poll("w1",
            {},
            { CellFixture::Ended(1, CellFixture::Run("j", 1, 1), RunEnd::Failed),
              CellFixture::Ended(2, CellFixture::Run("j", 0, 1), RunEnd::Failed) });
  const auto lines = TakeDetails(cell.mOut, "worker.aside");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), " run=j.0.0.0#1 run_before=j.0.0.1#1"));
}

TEST(GangQuarantine, GangThatWaitsForCapacitySaysSo)
{
  GangPlay cell(1);
  cell.Submit("full", { CellFixture::Step(3) });
  cell.Submit("gang", { GangPlay::Gang(2) });
  const auto lines = TakeDetails(cell.mOut, "step.waiting");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), "for=capacity tasks=2 slots=0 "));
}

TEST(GangQuarantine, GangThatWaitsForAQuarantinedWorkerSaysSo)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseAll;
  cell.Submit("gang", { GangPlay::Gang(2) });
  cell.Play(Time::FromMilliseconds(200));
  const auto lines = TakeDetails(cell.mOut, "step.waiting");
  CHECK_EQUAL(1, lines.size());
  CHECK(Contains(lines.front(), "for=probe tasks=2 slots=0 "));
  CHECK(Contains(lines.front(), " workers_aside=1 workers_to_probe=0 slots_aside=2"));
}

TEST(GangQuarantine, FailedMembersOfOneRunCountOnceAgainstTheirWorker)
{
  OneWorker cell;
  cell.SubmitPair("gang", true);
  cell.Poll("w1",
            {},
            { CellFixture::Ended(1, CellFixture::Run("gang", 0, 1), RunEnd::Failed),
              CellFixture::Ended(2, CellFixture::Run("gang", 1, 1), RunEnd::Failed) });
  CHECK_EQUAL(1, cell.Failures());
  CHECK(!cell.IsQuarantined());
  // Of the failed run nothing is left; the gang is started again.
  const auto& runs = cell.mCell.mWorkers.at("w1").mRuns;
  CHECK_EQUAL(2, runs.size());
  CHECK(runs.contains(CellFixture::Run("gang", 0, 2)));
  CHECK(runs.contains(CellFixture::Run("gang", 1, 2)));
}

TEST(GangQuarantine, FailedMembersOfOneRunCountOnceThoughTheyAreReportedApart)
{
  OneWorker cell;
  cell.SubmitPair("gang", true);
  cell.Poll("w1",
            { CellFixture::Running(CellFixture::Run("gang", 0, 1)) },
            { CellFixture::Ended(1, CellFixture::Run("gang", 1, 1), RunEnd::Failed) });
  cell.StoreAll();
  cell.Poll("w1", {}, { CellFixture::Ended(2, CellFixture::Run("gang", 0, 1), RunEnd::Failed) });
  CHECK_EQUAL(1, cell.Failures());
}

// The job is not known any more when the members on the second worker are reported.
TEST(GangQuarantine, FailedMembersOfAGangWhoseJobHasEndedCountOnce)
{
  GangPlay cell(2);
  cell.mQueue = cell.mQueue.WithMaxAttempts(1);
  cell.mCell.mConfig =
    ClusterConfig::Create({ .mVersion = 3, .mQueues = { cell.mQueue }, .mPools = {} }).value();
  cell.mEnd = [](const RunId&) { return RunEnd::Failed; };
  cell.Submit("gang", { GangPlay::Gang(4) });
  cell.Play(Time::FromMilliseconds(500));
  CHECK_EQUAL(1, cell.LastRun("gang"));
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1").mConsecutiveFailures);
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w2").mConsecutiveFailures);
}

TEST(GangQuarantine, GangIsStartedAgainOnTheWorkersOfItsFailedRun)
{
  GangPlay cell(2);
  cell.mEnd = [](const RunId& aRun) { return aRun.mRun == 1 ? RunEnd::Failed : RunEnd::Done; };
  cell.Submit("gang", { GangPlay::Gang(4) });
  cell.Play(Time::FromMilliseconds(500));
  CHECK_EQUAL(2, cell.LastRun("gang"));
}

TEST(GangQuarantine, EachFailedRunOfAGangCounts)
{
  GangPlay cell(1);
  cell.mEnd = [](const RunId&) { return RunEnd::Failed; };
  cell.Submit("gang", { GangPlay::Gang(2) });
  cell.Play(Time::FromMilliseconds(1000));
  CHECK_EQUAL(2, cell.LastRun("gang"));
  CHECK(cell.IsQuarantined("w1"));
}

TEST(GangQuarantine, MembersOfTwoGangsCountEach)
{
  OneWorker cell;
  cell.SubmitPair("gang", true);
  cell.SubmitPair("other", true);
  cell.Fail("gang", 0);
  cell.Fail("other", 0);
  CHECK(cell.IsQuarantined());
}

TEST(GangQuarantine, TasksOfOneJobCountEach)
{
  OneWorker cell;
  cell.SubmitPair("j", false);
  cell.Fail("j", 0);
  cell.Fail("j", 1);
  CHECK(cell.IsQuarantined());
}

TEST(GangQuarantine, TasksOfTwoJobsCountEach)
{
  OneWorker cell;
  cell.SubmitPair("j", false);
  cell.SubmitPair("other", false);
  cell.Fail("j", 0);
  cell.Fail("other", 0);
  CHECK(cell.IsQuarantined());
}
