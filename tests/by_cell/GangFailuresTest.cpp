#include "by_cell/CellFixture.h"
#include "by_cell/ReportedState.h"
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

  /// A gang of which each worker has room for one member.
  static JobStep::Fields SpreadGang(std::uint32_t aMembers)
  {
    auto step = Gang(aMembers);
    step.mDemand = Resources::Create({ .mCpuMillis = 3000, .mMemoryMb = 128 }).value();
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

  /// Replaces the owner by a successor, which reads what has been stored.
  void TakeOver() { mOwner = mOwner.Successor(); }

  CellFixture mOwner;
  /// The workers of the runs that have not ended.
  std::map<RunId, std::string> mHosts;
  std::map<std::string, std::vector<EndedRun>> mListed;
  std::map<JobTaskKey, std::uint32_t> mStarts;
};

/// @returns the state that a caller gets for the job. The question is put to a copy, since it drops
/// the effects that have not been taken.
JobState
StateOf(CellFixture aOwner)
{
  return ReportedState(aOwner, "j");
}

/// Checks that each member of a gang was started in each of its attempts and never again.
void
CheckStartsOfFailedGang(FailingWorkers& aWorkers, std::uint32_t aMembers, std::uint32_t aAttempts)
{
  aWorkers.mOwner.AdvanceTimeStoring(Time::FromSeconds(10));
  CHECK(aWorkers.BeginRuns().empty());
  CHECK_EQUAL(aMembers, aWorkers.mStarts.size());
  for (const auto& [task, starts] : aWorkers.mStarts) {
    CHECK_EQUAL(aAttempts, starts);
  }
}

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

/// A gang was shown as failed after one run, of which all members had failed.
TEST(GangFailures, MembersThatFailTogetherInOnePollAreOneAttempt)
{
  FailingWorkers workers(1, 2);
  workers.mOwner.Submit("j", { FailingWorkers::Gang(3) });
  for (std::uint32_t run = 1; run <= 2; ++run) {
    CHECK(StateOf(workers.mOwner) != JobState::Failed);
    const auto runs = workers.BeginRuns();
    CHECK_EQUAL(3, runs.size());
    CHECK_EQUAL(run, runs.front().mRun);
    workers.EndAll(runs, RunEnd::Failed);
    workers.ReportAll();
  }
  CheckStartsOfFailedGang(workers, 3, 2);
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

TEST(GangFailures, MembersThatFailTogetherInPollsOfSeveralWorkersAreOneAttempt)
{
  FailingWorkers workers(3, 2);
  workers.mOwner.Submit("j", { FailingWorkers::SpreadGang(3) });
  for (std::uint32_t run = 1; run <= 2; ++run) {
    const auto runs = workers.BeginRuns();
    CHECK_EQUAL(3, runs.size());
    workers.EndAll(runs, RunEnd::Failed);
    for (const auto* worker : { "w2", "w3", "w1" }) {
      CHECK(StateOf(workers.mOwner) != JobState::Failed || run == 2);
      workers.Report(worker);
      workers.mOwner.StoreAll();
    }
  }
  CheckStartsOfFailedGang(workers, 3, 2);
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

TEST(GangFailures, WideGangIsFailedAfterExactlyItsAttempts)
{
  constexpr std::uint32_t kMembers = 32;
  constexpr std::uint32_t kAttempts = 4;
  FailingWorkers workers(8, kAttempts);
  workers.mOwner.Submit("j", { FailingWorkers::Gang(kMembers) });
  for (std::uint32_t run = 1; run <= kAttempts; ++run) {
    const auto runs = workers.BeginRuns();
    CHECK_EQUAL(kMembers, runs.size());
    workers.EndAll(runs, RunEnd::Failed);
    workers.ReportAll();
  }
  CheckStartsOfFailedGang(workers, kMembers, kAttempts);
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

/// Failed runs are stored by member, so that a successor reads those of some members of a run and
/// learns of the others by their workers' reports.
TEST(GangFailures, WideGangIsFailedAfterExactlyItsAttemptsThoughOwnersFollowEachOther)
{
  constexpr std::uint32_t kMembers = 32;
  constexpr std::uint32_t kAttempts = 4;
  FailingWorkers workers(8, kAttempts);
  workers.mOwner.Submit("j", { FailingWorkers::Gang(kMembers) });
  for (std::uint32_t run = 1; run <= kAttempts; ++run) {
    const auto runs = workers.BeginRuns();
    CHECK_EQUAL(kMembers, runs.size());
    workers.EndAll(runs, RunEnd::Failed);
    for (const auto* worker : { "w1", "w2", "w3", "w4" }) {
      workers.Report(worker);
    }
    workers.mOwner.StoreAll();
    workers.Report("w5");
    // The report of w5 is not stored and comes again.
    workers.TakeOver();
    workers.ReportAll();
  }
  CheckStartsOfFailedGang(workers, kMembers, kAttempts);
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

/// Workers that were out of reach report the failed ends of an earlier run.
TEST(GangFailures, LateReportsOfAnEarlierRunAreOneAttempt)
{
  FailingWorkers workers(4, 2);
  workers.mOwner.Submit("j", { FailingWorkers::SpreadGang(2) });
  const auto first = workers.BeginRuns();
  CHECK_EQUAL(2, first.size());
  std::vector<std::string> silent;
  for (const auto& run : first) {
    silent.push_back(workers.mHosts.at(run));
    workers.mOwner.LoseWorker(silent.back());
  }
  workers.mOwner.AdvanceTimeStoring(Time::FromSeconds(6));
  const auto second = workers.BeginRuns();
  CHECK_EQUAL(2, second.size());
  workers.EndAll(second, RunEnd::GangIncomplete);
  workers.ReportAll();
  const auto third = workers.BeginRuns();
  CHECK_EQUAL(2, third.size());
  CHECK_EQUAL(3, third.front().mRun);
  workers.mOwner.TakeStops();
  workers.EndAll(first, RunEnd::Failed);
  for (const auto& worker : silent) {
    workers.Report(worker);
    workers.mOwner.StoreAll();
  }
  CHECK(workers.mOwner.TakeStops().empty());
  CHECK(StateOf(workers.mOwner) == JobState::Running);
  workers.EndAll(third, RunEnd::Failed);
  workers.ReportAll();
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

/// Guards against a count by member: a gang could then fail without end.
TEST(GangFailures, MembersThatFailInDifferentRunsAreDifferentAttempts)
{
  FailingWorkers workers(2, 2);
  workers.mOwner.Submit("j", { FailingWorkers::SpreadGang(2) });
  for (std::uint32_t run = 1; run <= 2; ++run) {
    CHECK(StateOf(workers.mOwner) != JobState::Failed);
    for (const auto& member : workers.BeginRuns()) {
      const bool isFailing = member.mTask.Index() + 1 == run;
      workers.End(member, isFailing ? RunEnd::Failed : RunEnd::GangBroken);
    }
    workers.ReportAll();
  }
  CheckStartsOfFailedGang(workers, 2, 2);
  CHECK(StateOf(workers.mOwner) == JobState::Failed);
}

TEST(GangFailures, GangDoesNotCountTheFailuresOfAnotherStep)
{
  FailingWorkers workers(1, 2);
  workers.mOwner.Submit("j", { FailingWorkers::Gang(2), FailingWorkers::Gang(2) });
  const auto runs = workers.BeginRuns();
  CHECK_EQUAL(4, runs.size());
  workers.EndAll(runs, RunEnd::Failed);
  workers.ReportAll();
  CHECK_EQUAL(4, workers.BeginRuns().size());
  CHECK(StateOf(workers.mOwner) == JobState::Running);
}

TEST(GangFailures, GangDoesNotCountTheFailuresOfAnotherOccurrence)
{
  FailingWorkers workers(1, 2);
  auto& owner = workers.mOwner;
  const auto request = owner.Submission("j", { FailingWorkers::Gang(2) });
  auto fields = request.Definition()->ToFields();
  fields.mOccurrences = 2;
  fields.mFirstDue = owner.mNow;
  fields.mInterval = Time::FromMilliseconds(100);
  HandleRequest(owner.mCell,
                { "owner", 1 },
                request.WithDefinition(JobDefinition::Create(std::move(fields)).value()),
                owner.mNow,
                owner.mOut);
  owner.AdvanceTimeStoring(Time::FromMilliseconds(500));
  const auto runs = workers.BeginRuns();
  CHECK_EQUAL(4, runs.size());
  workers.EndAll(runs, RunEnd::Failed);
  workers.ReportAll();
  CHECK_EQUAL(4, workers.BeginRuns().size());
  CHECK(StateOf(owner) == JobState::Running);
}
