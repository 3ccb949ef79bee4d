#include "by_cell/CellFixture.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// Four crashes on probation; the fifth run is the second start after the third of them.
constexpr std::uint32_t kCrashes = 4;
/// The age of these crashes, and a time beyond the probation that follows from it.
constexpr Time kCrashAge = Time::FromMilliseconds(750);
constexpr Time kBeyondProbation = Time::FromMilliseconds(2500);

/// A gang of two, the first member of which may have crashed its worker four times.
struct SuspectedGang : CellFixture
{
  SuspectedGang()
    : CellFixture(10)
  {
    auto gang = Step(2);
    gang.mGang = true;
    Submit("j", { gang });
    for (std::uint32_t n = 0; n < kCrashes; ++n) {
      Break(*this, StartNext());
    }
    auto& occurrence = mCell.mJobs.at("j").mOccurrences.at(0);
    auto& crashes = occurrence.mTasks.front().mCrashes;
    for (std::uint32_t n = 1; n <= kCrashes; ++n) {
      crashes.mRuns.push_back({ .mRun = n, .mAge = kCrashAge, .mIsSuspect = true, .mBlame = 1 });
    }
    crashes.mLastCrash = mNow;
    occurrence.mSteps.front().mHasSuspects = true;
    mCell.mNewCrashes.insert(Run("j", 0, 1).mTask);
  }

  /// Awaits the next run of the gang, and confirms it.
  std::vector<StartRun> StartNext()
  {
    for (int n = 0; n < 40; ++n) {
      AdvanceTimeStoring(Time::FromMilliseconds(200));
      auto starts = TakeStarts();
      for (const auto& start : starts) {
        Started(start.Worker(), { start.Task(), start.Run() }, OrderOutcome::Accepted);
      }
      if (!starts.empty()) {
        return starts;
      }
    }
    return {};
  }

  /// Lets an owner see that a run of the gang was broken off.
  void Break(CellFixture& aOwner, const std::vector<StartRun>& aStarts)
  {
    for (const auto& start : aStarts) {
      const RunId run{ start.Task(), start.Run() };
      aOwner.Poll(start.Worker(),
                  {},
                  { Ended(++mEnds[start.Worker()], run, RunEnd::GangBroken) },
                  aOwner.mCell.mWorkers.at(start.Worker()).mProcessStart);
    }
  }

  /// The number of the last end on each worker.
  std::map<std::string, std::uint64_t> mEnds;
};

} // namespace

TEST_GROUP(BrokenTrial){};

/// A member of a gang that had crashed four workers was started a third time after the third crash,
/// since another member had broken off the run before.
TEST(BrokenTrial, RunThatWasBrokenOffUsesUpAStart)
{
  SuspectedGang cell;
  const auto starts = cell.StartNext();
  CHECK_EQUAL(kCrashes + 1, starts.front().Run());
  cell.Break(cell, starts);
  CHECK(cell.mCell.mOutcomes.at("j").mState == JobState::Failed);
}

TEST(BrokenTrial, RunThatWentOnBeyondItsProbationUsesUpNone)
{
  SuspectedGang cell;
  const auto starts = cell.StartNext();
  cell.AdvanceTimeStoring(kBeyondProbation);
  cell.Break(cell, starts);
  CHECK(cell.mCell.mOutcomes.empty());
}

/// Its age is not known to the successor.
TEST(BrokenTrial, RunOfAnEarlierOwnerUsesUpNone)
{
  SuspectedGang cell;
  const auto starts = cell.StartNext();
  CHECK_EQUAL(kCrashes + 1, starts.front().Run());
  auto successor = cell.Successor();
  const auto& tasks = successor.mCell.mJobs.at("j").mOccurrences.at(0).mTasks;
  CHECK_EQUAL(kCrashes, tasks.front().mCrashes.mRuns.size());
  cell.Break(successor, starts);
  CHECK(successor.mCell.mOutcomes.empty());
}
