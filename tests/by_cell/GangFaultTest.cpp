#include "by_cell/GangPlay.h"
#include "by_cell/TakeDetails.h"

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kRun = Time::FromMilliseconds(200);

/// A cell in which the runs of one gang, with two members on each worker, never end as done.
struct FailingGang : GangPlay
{
  /// @param aAttempts the attempts of a gang.
  FailingGang(int aWorkers, std::uint32_t aAttempts)
    : GangPlay(aWorkers)
  {
    mQueue = mQueue.WithMaxAttempts(aAttempts);
    mCell.mConfig =
      ClusterConfig::Create({ .mVersion = 4, .mQueues = { mQueue }, .mPools = {} }).value();
    mAnswer = [this](const StartRun& aStart) {
      mHosts[{ aStart.Task(), aStart.Run() }] = aStart.Worker();
      return OrderOutcome::Accepted;
    };
    mEnd = [](const RunId& aRun) {
      return aRun.mTask.Job() == "gang" ? RunEnd::Failed : RunEnd::Done;
    };
  }

  /// Lets time pass until a job has been started in a run and that run has ended everywhere.
  void PlayRun(const std::string& aJob, std::uint32_t aRun)
  {
    const auto until = mNow + Time::FromSeconds(10);
    while (mNow < until && LastRun(aJob) < aRun) {
      Play(Time::FromMilliseconds(50));
    }
    CHECK_EQUAL(aRun, LastRun(aJob));
    Play(kRun + Time::FromMilliseconds(100));
  }

  std::size_t CountQuarantined() const
  {
    return static_cast<std::size_t>(
      std::count_if(mCell.mWorkers.begin(), mCell.mWorkers.end(), [](const auto& aEntry) {
        return aEntry.second.mQuarantinedUntil > Time();
      }));
  }

  std::map<RunId, std::string> mHosts;
};

} // namespace

/// A gang that fails by its own fault quarantined all of its workers with its second run, and again
/// with each run that probed them, so that other jobs had nothing running beside idle workers.
TEST_GROUP(GangFault){};

TEST(GangFault, JobsAreStartedBesideAGangThatFailsOnAllWorkers)
{
  FailingGang cell(8, 4);
  cell.Submit("gang", { GangPlay::Gang(16) });
  cell.Play(Time::FromMilliseconds(300));
  const auto submitted = cell.mNow;
  cell.Submit("other", { CellFixture::Step(8) });
  while (cell.LastRun("other") == 0 && cell.mNow < submitted + Time::FromSeconds(10)) {
    cell.Play(Time::FromMilliseconds(50));
  }
  CHECK(cell.mNow - submitted < Time::FromSeconds(2));
}

TEST(GangFault, RunsOfWhichAllMembersFailSetNoWorkerAside)
{
  FailingGang cell(3, 20);
  cell.Submit("gang", { GangPlay::Gang(6) });
  cell.PlayRun("gang", 2);
  cell.PlayRun("gang", 4);
  CHECK_EQUAL(0, cell.CountQuarantined());
  CHECK(!TakeDetails(cell.mOut, "gang.all_failed").empty());
}

TEST(GangFault, WorkerOnWhichAloneMembersFailIsSetAsideAfterTwoRuns)
{
  FailingGang cell(3, 20);
  cell.mEnd = [&](const RunId& aRun) {
    return cell.mHosts.at(aRun) == "w2" ? RunEnd::Failed : RunEnd::GangBroken;
  };
  cell.Submit("gang", { GangPlay::Gang(6) });
  cell.PlayRun("gang", 2);
  CHECK_EQUAL(1, cell.CountQuarantined());
  CHECK(cell.IsQuarantined("w2"));
}

TEST(GangFault, WorkersOnWhichMembersFailBesideBrokenOnesAreSetAsideAfterTwoRuns)
{
  FailingGang cell(4, 20);
  cell.mEnd = [&](const RunId& aRun) {
    return cell.mHosts.at(aRun) == "w1" ? RunEnd::GangBroken : RunEnd::Failed;
  };
  cell.Submit("gang", { GangPlay::Gang(8) });
  cell.PlayRun("gang", 2);
  CHECK_EQUAL(3, cell.CountQuarantined());
}

TEST(GangFault, TwoWorkersOnWhichAllMembersFailAreSetAsideAfterTwoRuns)
{
  FailingGang cell(2, 20);
  cell.Submit("gang", { GangPlay::Gang(4) });
  cell.PlayRun("gang", 2);
  CHECK_EQUAL(2, cell.CountQuarantined());
}

TEST(GangFault, WorkerThatWasQuarantinedBeforeStaysSo)
{
  FailingGang cell(3, 20);
  const auto before = cell.mNow;
  cell.mCell.mWorkers.at("w2").mQuarantinedUntil = before;
  cell.Submit("gang", { GangPlay::Gang(6) });
  cell.PlayRun("gang", 2);
  CHECK_EQUAL(1, cell.CountQuarantined());
  CHECK(cell.mCell.mWorkers.at("w2").mQuarantinedUntil == before);
}

TEST(GangFault, TasksThatWorkAloneOnSeveralWorkersSetThemAside)
{
  FailingGang cell(3, 20);
  auto step = GangPlay::Gang(6);
  step.mGang = false;
  cell.Submit("gang", { step });
  cell.PlayRun("gang", 1);
  CHECK_EQUAL(3, cell.CountQuarantined());
}
