#include "by_cell/CellFixture.h"
#include "by_cell/TakeAll.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// Workers whose runs end as the test decides. They list all of their ends with each report, as
/// ends are listed again until they are acknowledged.
class FailingWorkers
{
public:
  /// @param aAttempts the attempts of a task or a gang.
  FailingWorkers(int aWorkers, std::uint32_t aAttempts)
    : mOwner(aWorkers)
  {
    // No worker is quarantined, so that each run is placed at once.
    mOwner.mCell.mSettings = mOwner.mCell.mSettings.WithFailureLimit(1000);
    mOwner.mQueue = mOwner.mQueue.WithMaxAttempts(aAttempts);
    mOwner.mCell.mConfig = mOwner.mCell.mConfig.WithQueues({ mOwner.mQueue });
  }

  static JobStep::Fields Gang(std::uint32_t aMembers)
  {
    auto step = CellFixture::Step(aMembers);
    step.mGang = true;
    return step;
  }

  /// Accepts the starts that were sent since the last call.
  /// @returns their runs.
  std::vector<RunId> BeginRuns()
  {
    std::vector<RunId> runs;
    for (const auto& start : mOwner.TakeStarts()) {
      runs.push_back({ start.Task(), start.Run() });
      mHosts.emplace(runs.back(), start.Worker());
      ++mStarts[start.Task()];
      mOwner.Started(start.Worker(), runs.back(), OrderOutcome::Accepted);
    }
    return runs;
  }

  /// Ends a run without a report.
  void End(const RunId& aRun, RunEnd aEnd)
  {
    auto& listed = mListed[mHosts.at(aRun)];
    listed.push_back(CellFixture::Ended(listed.size() + 1, aRun, aEnd));
    mHosts.erase(aRun);
  }

  void EndAll(const std::vector<RunId>& aRuns, RunEnd aEnd)
  {
    for (const auto& run : aRuns) {
      End(run, aEnd);
    }
  }

  /// Answers a poll of a worker.
  void Report(const std::string& aWorker)
  {
    std::vector<RunningRun> running;
    for (const auto& [run, host] : mHosts) {
      if (host == aWorker) {
        running.push_back(CellFixture::Running(run));
      }
    }
    mOwner.Poll(aWorker, std::move(running), mListed[aWorker]);
  }

  /// Answers a poll of each worker that has ended a run, and stores what changes.
  void ReportAll()
  {
    for (const auto& [worker, ends] : mListed) {
      Report(worker);
    }
    mOwner.StoreAll();
  }

  CellFixture mOwner;
  /// The workers of the runs that have not ended.
  std::map<RunId, std::string> mHosts;
  std::map<std::string, std::vector<EndedRun>> mListed;
  std::map<JobTaskKey, std::uint32_t> mStarts;
};

/// @returns the detail of the last line task.failed.
std::string
LastFailure(CellFixture& aCell)
{
  std::string detail;
  for (const auto& line : TakeAll<LogLine>(aCell.mOut)) {
    detail = line.Event() == "task.failed" ? line.Detail() : detail;
  }
  return detail;
}

} // namespace

TEST_GROUP(GangFailures){};

/// The log could not tell a run of which several members failed from several failed runs.
TEST(GangFailures, LogTellsEndsOfOneRunFromRuns)
{
  FailingWorkers workers(1, 8);
  workers.mOwner.Submit("j", { FailingWorkers::Gang(3) });
  workers.EndAll(workers.BeginRuns(), RunEnd::Failed);
  workers.ReportAll();
  STRCMP_CONTAINS(" attempts=8 ends=3 runs=1", LastFailure(workers.mOwner).c_str());
}

TEST(GangFailures, LogNamesTheNewestRunsAndCountsTheOthers)
{
  FailingWorkers workers(1, 8);
  workers.mOwner.Submit("j", { CellFixture::Step(1) });
  for (int run = 1; run <= 6; ++run) {
    workers.EndAll(workers.BeginRuns(), RunEnd::Failed);
    workers.ReportAll();
  }
  STRCMP_EQUAL("failures=6 attempts=8 ends=6 runs=3,4,5,6+2", LastFailure(workers.mOwner).c_str());
}
