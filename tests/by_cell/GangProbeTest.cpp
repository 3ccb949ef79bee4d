#include "by_cell/GangPlay.h"

#include <CppUTest/TestHarness.h>

#include "by_cell/ReportedState.h"
#include "by_cell/detail/Tables.h"

using namespace by;

namespace {

constexpr Time kLongEnough = Time::FromSeconds(6);
constexpr Time kTick = Time::FromMilliseconds(50);

/// How runs end that fail until a run of their job.
std::function<RunEnd(const RunId&)>
FailBefore(std::uint32_t aRun)
{
  return [=](const RunId& aEnded) { return aEnded.mRun < aRun ? RunEnd::Failed : RunEnd::Done; };
}

/// How a worker answers that refuses the first run of each task.
OrderOutcome
RefuseFirst(const StartRun& aStart)
{
  return aStart.Run() == 1 ? OrderOutcome::Unhealthy : OrderOutcome::Accepted;
}

/// Lets time pass until a job has been started in a run.
void
PlayUntilRun(GangPlay& aCell, const std::string& aJob, std::uint32_t aRun)
{
  const auto until = aCell.mNow + kLongEnough;
  while (aCell.mNow < until && aCell.LastRun(aJob) < aRun) {
    aCell.Play(kTick);
  }
  CHECK_EQUAL(aRun, aCell.LastRun(aJob));
}

} // namespace

/// A gang with two members on a worker was never placed while its workers were probed, since each
/// member counted as a probe of its own; without other work nothing ever proved the workers.
TEST_GROUP(GangProbe){};

TEST(GangProbe, GangWithTwoMembersAWorkerIsPlacedAfterItsFailures)
{
  GangPlay cell(2);
  cell.mEnd = FailBefore(3);
  cell.Submit("gang", { GangPlay::Gang(4) });
  cell.Play(kLongEnough);
  CHECK_EQUAL(3, cell.LastRun("gang"));
  CHECK(ReportedState(cell, "gang") == JobState::Completed);
  CHECK(!cell.IsQuarantined("w1"));
  CHECK(!cell.IsQuarantined("w2"));
}

TEST(GangProbe, GangWithTwoMembersAWorkerIsPlacedAfterRefusals)
{
  GangPlay cell(2);
  cell.mAnswer = RefuseFirst;
  cell.Submit("gang", { GangPlay::Gang(4) });
  cell.Play(Time::FromSeconds(3));
  CHECK_EQUAL(2, cell.LastRun("gang"));
  CHECK(ReportedState(cell, "gang") == JobState::Completed);
}

TEST(GangProbe, GangIsPlacedOnTheOneWorkerThatItsAdviceAllows)
{
  GangPlay cell(3);
  cell.RequireAdvice({ "w2" });
  cell.mEnd = FailBefore(3);
  cell.Submit("gang", { GangPlay::Gang(2) });
  cell.Play(kLongEnough);
  CHECK_EQUAL(3, cell.LastRun("gang"));
  CHECK(ReportedState(cell, "gang") == JobState::Completed);
}

TEST(GangProbe, GangIsPlacedBesideTasksThatItsReservationKeepsWaiting)
{
  GangPlay cell(2);
  cell.mEnd = [](const RunId& aRun) {
    return aRun.mTask.Job() == "gang" && aRun.mRun < 3 ? RunEnd::Failed : RunEnd::Done;
  };
  cell.mQueue = cell.mQueue.WithSlack(Time::FromSeconds(20));
  cell.Submit("gang", { GangPlay::Gang(4) });
  auto loose = CellFixture::Step(2);
  loose.mEstimate = Time::FromSeconds(5);
  cell.mQueue = cell.mQueue.WithPriority(1).WithPathPrefix("/low/");
  cell.Submit("loose", { loose });
  cell.Play(kLongEnough);
  CHECK(ReportedState(cell, "gang") == JobState::Completed);
  CHECK(ReportedState(cell, "loose") == JobState::Completed);
}

TEST(GangProbe, GangThatNeverBecameCompleteLeavesTheWorkerToTheNextProbe)
{
  for (const auto how : { RunEnd::GangBroken, RunEnd::GangIncomplete, RunEnd::LeaseExpired }) {
    GangPlay cell(1);
    cell.mAnswer = RefuseFirst;
    cell.mEnd = [=](const RunId& aRun) { return aRun.mRun == 2 ? how : RunEnd::Done; };
    cell.Submit("gang", { GangPlay::Gang(2) });
    PlayUntilRun(cell, "gang", 3);
    CHECK(cell.IsQuarantined("w1"));
    cell.Play(Time::FromSeconds(1));
    CHECK(ReportedState(cell, "gang") == JobState::Completed);
  }
}

TEST(GangProbe, GangThatIsCancelledLeavesTheWorkerToTheNextProbe)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseFirst;
  cell.Submit("gang", { GangPlay::Gang(2) });
  PlayUntilRun(cell, "gang", 2);
  cell.Call(JobCallKind::Cancel, "gang");
  cell.mAnswer = [](const StartRun&) { return OrderOutcome::Accepted; };
  cell.Submit("next", { GangPlay::Gang(2) });
  cell.Play(Time::FromSeconds(1));
  CHECK(ReportedState(cell, "next") == JobState::Completed);
}

TEST(GangProbe, GangTakesNoPlaceBesideAnotherProbe)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseFirst;
  cell.Submit("j", { CellFixture::Step(1) });
  PlayUntilRun(cell, "j", 2);
  auto gang = CellFixture::Step(2);
  gang.mGang = true;
  cell.mAnswer = [](const StartRun&) { return OrderOutcome::Accepted; };
  cell.Submit("gang", { gang });
  cell.Play(Time::FromSeconds(1));
  CHECK_EQUAL(2, cell.mMostRuns["w1"]);
  CHECK(ReportedState(cell, "gang") == JobState::Completed);
}

TEST(GangProbe, TasksThatWorkAloneAreProbesOfTheirOwn)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseFirst;
  cell.Submit("j", { CellFixture::Step(3) });
  PlayUntilRun(cell, "j", 2);
  CHECK_EQUAL(1, cell.mRunning["w1"].size());
  cell.Play(Time::FromSeconds(1));
  CHECK(ReportedState(cell, "j") == JobState::Completed);
}

TEST(GangProbe, SuspectedTasksThatWorkAloneAreProbesOfTheirOwn)
{
  GangPlay cell(1);
  cell.mAnswer = RefuseFirst;
  cell.Submit("j", { CellFixture::Step(3) });
  cell.Play(kTick);
  for (std::uint32_t i = 0; i < 3; ++i) {
    auto* task = detail::FindTask(cell.mCell, CellFixture::Run("j", i, 1).mTask);
    task->mCrashes.mRuns = { { .mRun = 1, .mIsSuspect = true, .mBlame = 4 } };
    task->mCrashes.mLastCrash = cell.mNow;
  }
  cell.mCell.mJobs.at("j").mOccurrences.at(0).mSteps[0].mHasSuspects = true;
  PlayUntilRun(cell, "j", 2);
  CHECK_EQUAL(1, cell.mRunning["w1"].size());
}
