#include "by_cell/TeamCell.h"

#include <limits>

#include <CppUTest/TestHarness.h>

#include "by_cell/detail/Jobs.h"

using namespace by;

namespace {

constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();

JobStep::Fields
Gang(std::uint32_t aTasks)
{
  auto step = CellFixture::Step(aTasks);
  step.mGang = true;
  return step;
}

JobCallOutcome
OutcomeOf(TeamCell& aCell)
{
  const auto replies = aCell.TakeReplies();
  CHECK_EQUAL(1, replies.size());
  CHECK(replies.front().RetryAfter() == Time());
  return replies.front().Outcome();
}

/// Submits a job of a team whose tasks are assigned, while the assignment is not stored.
void
Assign(TeamCell& aCell, const std::string& aTeam, std::vector<JobStep::Fields> aSteps)
{
  aCell.SubmitUnstoredAs(aTeam, "j", std::move(aSteps));
  aCell.Advance();
  aCell.Store();
  aCell.mNow = aCell.mNow + Time::FromMilliseconds(20);
  aCell.Advance();
  CHECK(aCell.mCell.mInFlight.has_value());
}

} // namespace

/// The quota of a team limits its runs over all workers. Without it a team took all capacity.
TEST_GROUP(Quota){};

TEST(Quota, TasksStartUpToTheQuota)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 3000) });
  cell.SubmitAs("red", "j", { CellFixture::Step(6) });
  CHECK_EQUAL(3, cell.CountRunning("j"));
  CHECK_EQUAL(3000, cell.Charged("red"));
  cell.EndRuns("j", 2);
  CHECK_EQUAL(3, cell.CountRunning("j"));
  CHECK_EQUAL(3000, cell.Charged("red"));
}

TEST(Quota, OtherTeamsAreNotLimited)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 3000), TeamCell::Team("blue", 0) });
  cell.SubmitAs("red", "r", { CellFixture::Step(6) });
  cell.SubmitAs("blue", "b", { CellFixture::Step(6) });
  CHECK_EQUAL(3, cell.CountRunning("r"));
  CHECK_EQUAL(5, cell.CountRunning("b"));
}

/// A part of a gang that has started holds capacity until the gang is given up.
TEST(Quota, GangOfWhichOneMemberIsAboveTheQuotaStartsNoPart)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 4000) });
  cell.SubmitAs("red", "loose", { CellFixture::Step(2) });
  cell.SubmitAs("red", "gang", { Gang(3) });
  CHECK_EQUAL(2, cell.CountRunning("loose"));
  CHECK_EQUAL(0, cell.CountRunning("gang"));
  cell.EndRuns("loose", 1);
  CHECK_EQUAL(3, cell.CountRunning("gang"));
  CHECK_EQUAL(4000, cell.Charged("red"));
}

/// A placement pass leaves a pool after 60 steps without capacity there.
TEST(Quota, StepsThatWaitForTheirQuotaAreNoMissesOfThePool)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 1000), TeamCell::Team("blue", 0) });
  for (int i = 0; i < 70; ++i) {
    cell.SubmitAs("red", "r" + std::to_string(i), { CellFixture::Step(2) });
  }
  cell.SubmitAs("blue", "b", { CellFixture::Step(1) });
  CHECK_EQUAL(1, cell.CountRunning("b"));
}

TEST(Quota, GangThatWaitsForItsQuotaReservesNoCapacity)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 8000), TeamCell::Team("blue", 0) });
  cell.SubmitAs("red", "loose", { CellFixture::Step(2) });
  cell.SubmitAs("red", "gang", { Gang(7) });
  cell.mQueue = cell.mQueue.WithPriority(1).WithPathPrefix("/low/");
  auto slow = CellFixture::Step(6);
  slow.mEstimate = Time::FromSeconds(60);
  cell.SubmitAs("blue", "b", { slow });
  CHECK_EQUAL(6, cell.CountRunning("b"));
}

TEST(Quota, StepThatWaitsForItsQuotaQueriesNoAdvice)
{
  TeamCell cell;
  cell.mQueue = cell.mQueue.WithAdvice(
    AdvicePolicy::Create(
      { .mDecisionUs = 1000, .mWorkerUs = 100, .mValidity = Time::FromSeconds(2) })
      .value());
  ConfigureCell(cell.mCell, cell.mCell.mConfig.WithQueues({ cell.mQueue }));
  cell.Configure({ TeamCell::Team("red", 2000), TeamCell::Team("blue", 0) });
  auto other = cell.mQueue.WithAdvice(std::nullopt).WithPathPrefix("/other/");
  std::swap(cell.mQueue, other);
  cell.SubmitAs("red", "r", { CellFixture::Step(2) });
  CHECK_EQUAL(2, cell.CountRunning("r"));
  std::swap(cell.mQueue, other);
  cell.SubmitAs("red", "advised", { CellFixture::Step(1) });
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK(cell.TakeAdviceRequests().empty());
  cell.SubmitAs("blue", "b", { CellFixture::Step(1) });
  CHECK_FALSE(cell.TakeAdviceRequests().empty());
}

TEST(Quota, EachChangeIsLoggedOnce)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 1000) });
  cell.mOut.clear();
  cell.SubmitAs("red", "j", { CellFixture::Step(5) });
  for (int i = 0; i < 3; ++i) {
    cell.AdvanceTimeStoring(Time::FromMilliseconds(300));
    cell.EndRuns("j", 1);
  }
  CHECK_EQUAL(1, cell.TakeLogged("team.quota_reached"));
  cell.EndRuns("j", 1);
  CHECK_EQUAL(1, cell.TakeLogged("team.quota_free"));
  cell.EndRuns("j", 1);
  cell.AdvanceTimeStoring(Time::FromSeconds(1));
  CHECK_EQUAL(0, cell.TakeLogged("team.quota_reached"));
}

/// Nothing that runs is stopped, and no start takes the team above its quota.
TEST(Quota, ReducedQuotaStopsNothingAndStartsNothing)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 0) });
  cell.SubmitAs("red", "j", { CellFixture::Step(12) });
  CHECK_EQUAL(8, cell.CountRunning("j"));
  cell.Configure({ TeamCell::Team("red", 3000) });
  cell.EndRuns("j", 5);
  CHECK(cell.TakeStops().empty());
  CHECK_EQUAL(3, cell.CountRunning("j"));
  cell.EndRuns("j", 1);
  CHECK_EQUAL(3, cell.CountRunning("j"));
  cell.Configure({ TeamCell::Team("red", 5000) });
  cell.AcceptStarts();
  CHECK_EQUAL(5, cell.CountRunning("j"));
}

TEST(Quota, ZeroAndTheLargestNumberLimitNothing)
{
  for (const auto quota : { std::int64_t{ 0 }, kLargest }) {
    TeamCell cell;
    cell.Configure({ TeamCell::Team("red", quota, kLargest), TeamCell::Team("blue", quota, 0) });
    cell.SubmitAs("red", "j", { CellFixture::Step(4) });
    cell.SubmitAs("blue", "g", { Gang(4) });
    CHECK_EQUAL(4, cell.CountRunning("j"));
    CHECK_EQUAL(4, cell.CountRunning("g"));
  }
}

TEST(Quota, GangWiderThanItIsRefusedAndNothingIsStored)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 3000) });
  const auto stored = cell.mRecords.size();
  cell.SubmitUnstoredAs("red", "j", { CellFixture::Step(1), Gang(4) });
  CHECK(OutcomeOf(cell) == JobCallOutcome::Throttled);
  CHECK(cell.mCell.mJobs.empty());
  CHECK_FALSE(HasUnstored(cell.mCell));
  cell.StoreAll();
  CHECK_EQUAL(stored, cell.mRecords.size());
}

TEST(Quota, TaskLargerThanItIsRefusedAlsoAtTheLargestNumbers)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 3000), TeamCell::Team("blue", kLargest - 1) });
  auto step = CellFixture::Step(1);
  step.mDemand = step.mDemand.WithCpuMillis(3001);
  cell.SubmitUnstoredAs("red", "j", { step });
  CHECK(OutcomeOf(cell) == JobCallOutcome::Throttled);
  step.mDemand = step.mDemand.WithCpuMillis(kLargest);
  cell.SubmitUnstoredAs("blue", "k", { step });
  CHECK(OutcomeOf(cell) == JobCallOutcome::Throttled);
  auto gang = Gang(100000);
  gang.mDemand = gang.mDemand.WithCpuMillis(kLargest / 2);
  cell.SubmitUnstoredAs("blue", "l", { gang });
  CHECK(OutcomeOf(cell) == JobCallOutcome::Throttled);
}

TEST(Quota, JobThatWasAcceptedBeforeIsAnsweredAsAccepted)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 4000) });
  cell.SubmitAs("red", "j", { Gang(4) });
  cell.TakeReplies();
  cell.Configure({ TeamCell::Team("red", 3000) });
  cell.SubmitUnstoredAs("red", "j", { Gang(4) });
  CHECK(OutcomeOf(cell) == JobCallOutcome::Accepted);
}

/// Gangs that no longer fit their quota at all kept the later jobs of their team waiting: a pass
/// examines 400 steps.
TEST(Quota, JobsWiderThanAReducedQuotaWaitBesideOthersUntilItIsRaised)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 8000) });
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  cell.SubmitAs("red", "gang", { Gang(8) });
  for (int i = 0; i < 420; ++i) {
    cell.SubmitAs("red", "gang" + std::to_string(i), { Gang(8) });
  }
  cell.Configure({ TeamCell::Team("red", 2000) });
  cell.mOut.clear();
  cell.SubmitAs("red", "loose", { CellFixture::Step(2) });
  cell.EndRuns("running", 8);
  CHECK_EQUAL(2, cell.CountRunning("loose"));
  cell.EndRuns("loose", 2);
  cell.AdvanceTimeStoring(Time::FromSeconds(6));
  CHECK_EQUAL(0, cell.TakeLogged("step.feasible"));
  CHECK_EQUAL(0, cell.CountRunning("gang"));
  cell.Configure({ TeamCell::Team("red", 8000) });
  cell.AcceptStarts();
  CHECK_EQUAL(8, cell.CountRunning("gang"));
}

/// A start that was planned before the quota was reduced took the team above it.
TEST(Quota, PlannedStartAboveAReducedQuotaIsDropped)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 4000) });
  Assign(cell, "red", { CellFixture::Step(4) });
  CHECK_EQUAL(4000, cell.Charged("red"));
  ConfigureCell(cell.mCell, cell.mCell.mConfig.WithTeams({ TeamCell::Team("red", 2000) }));
  cell.StoreAll();
  cell.AcceptStarts();
  CHECK_EQUAL(2, cell.CountRunning("j"));
  CHECK_EQUAL(2000, cell.Charged("red"));
  cell.EndRuns("j", 2);
  CHECK_EQUAL(2, cell.CountRunning("j"));
}

TEST(Quota, NoMemberOfAPlannedGangStartsAboveAReducedQuota)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 4000) });
  Assign(cell, "red", { Gang(4) });
  ConfigureCell(cell.mCell, cell.mCell.mConfig.WithTeams({ TeamCell::Team("red", 3000) }));
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(0, cell.Charged("red"));
}

/// A start that went unanswered may still be carried out: it counts, it isn't sent again, since the
/// first one may be lost, and it isn't stopped, since it may run.
TEST(Quota, UnansweredStartCountsAndIsNotRepeatedAboveAReducedQuota)
{
  TeamCell cell(1);
  cell.Configure({ TeamCell::Team("red", 2000) });
  cell.SubmitUnstoredAs("red", "j", { CellFixture::Step(3) });
  cell.StoreAll();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(2, starts.size());
  const RunId first{ starts[0].Task(), starts[0].Run() };
  const RunId late{ starts[1].Task(), starts[1].Run() };
  cell.Started("w1", first, OrderOutcome::Accepted);
  cell.Started("w1", late, OrderOutcome::Unanswered);
  cell.Configure({ TeamCell::Team("red", 1000) });
  for (int i = 0; i < 10; ++i) {
    cell.Poll("w1", { CellFixture::Running(first) }, {});
    cell.AdvanceTimeStoring(Time::FromMilliseconds(100));
  }
  CHECK(cell.TakeStarts().empty());
  CHECK(cell.TakeStops().empty());
  CHECK_EQUAL(2000, cell.Charged("red"));
  // It is carried out late.
  cell.Poll("w1", { CellFixture::Running(first), CellFixture::Running(late) }, {});
  cell.Poll("w1", { CellFixture::Running(late) }, { CellFixture::Ended(1, first, RunEnd::Done) });
  cell.StoreAll();
  CHECK(cell.TakeStarts().empty());
  CHECK_EQUAL(1000, cell.Charged("red"));
  cell.Poll("w1", {}, { CellFixture::Ended(2, late, RunEnd::Done) });
  cell.StoreAll();
  CHECK_EQUAL(1, cell.TakeStarts().size());
}

TEST(Quota, UnansweredStartIsRepeatedOnceTheQuotaAllowsIt)
{
  TeamCell cell(1);
  cell.Configure({ TeamCell::Team("red", 2000) });
  cell.SubmitUnstoredAs("red", "j", { CellFixture::Step(2) });
  cell.StoreAll();
  const auto starts = cell.TakeStarts();
  CHECK_EQUAL(2, starts.size());
  const RunId first{ starts[0].Task(), starts[0].Run() };
  cell.Started("w1", first, OrderOutcome::Accepted);
  cell.Started("w1", { starts[1].Task(), starts[1].Run() }, OrderOutcome::Unanswered);
  cell.Configure({ TeamCell::Team("red", 1000) });
  cell.Poll("w1", { CellFixture::Running(first) }, {});
  cell.AdvanceTimeStoring(Time::FromMilliseconds(600));
  CHECK(cell.TakeStarts().empty());
  cell.Poll("w1", {}, { CellFixture::Ended(1, first, RunEnd::Done) });
  cell.AdvanceTimeStoring(Time::FromMilliseconds(300));
  const auto repeated = cell.TakeStarts();
  CHECK_EQUAL(1, repeated.size());
  CHECK(repeated.front().Task() == starts[1].Task());
}

/// A run that is being stopped still uses capacity.
TEST(Quota, RunOfACancelledJobCountsUntilItsEndIsKnown)
{
  TeamCell cell(1);
  cell.Configure({ TeamCell::Team("red", 2000) });
  cell.SubmitAs("red", "j", { CellFixture::Step(2) });
  cell.Call(JobCallKind::Cancel, "j");
  cell.SubmitAs("red", "k", { CellFixture::Step(1) });
  CHECK_EQUAL(2000, cell.Charged("red"));
  CHECK_EQUAL(0, cell.CountRunning("k"));
  const auto [worker, run] = cell.mRunning.front();
  cell.Poll(worker,
            { CellFixture::Running(cell.mRunning.back().second) },
            { CellFixture::Ended(1, run, RunEnd::Stopped) });
  cell.StoreAll();
  cell.AcceptStarts();
  CHECK_EQUAL(1, cell.CountRunning("k"));
}

/// A task on a worker that is out of reach may run until its lease has expired.
TEST(Quota, RunOnAWorkerOutOfReachCountsUntilItsLeaseHasExpired)
{
  TeamCell cell(2);
  cell.Configure({ TeamCell::Team("red", 1000) });
  cell.SubmitAs("red", "j", { CellFixture::Step(1) });
  cell.LoseWorker(cell.mRunning.front().first);
  cell.SubmitAs("red", "k", { CellFixture::Step(1) });
  CHECK_EQUAL(0, cell.CountRunning("k"));
  CHECK_EQUAL(1000, cell.Charged("red"));
}

/// The owner is lost after it has stored an assignment and before it sends the start.
TEST(Quota, SuccessorCountsTheSameUsage)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 4000), TeamCell::Team("blue", 0) });
  cell.SubmitAs("blue", "b", { CellFixture::Step(2) });
  cell.SubmitUnstoredAs("red", "j", { Gang(3) });
  cell.StoreAll();
  CHECK_EQUAL(3000, cell.Charged("red"));
  TeamCell next;
  static_cast<CellFixture&>(next) = cell.SuccessorWithoutRegistry();
  CHECK_EQUAL(3000, next.Charged("red"));
  CHECK_EQUAL(2000, next.Charged("blue"));
  std::vector<WorkerRegistration> workers;
  for (const auto& [id, worker] : cell.mCell.mWorkers) {
    workers.push_back(worker.mRegistration);
  }
  next.ReadRegistry(workers);
  next.SubmitAs("red", "k", { CellFixture::Step(3) });
  CHECK(next.Charged("red") <= 4000);
}

/// The demand of a run is not known once the record of its job is deleted.
TEST(Quota, SuccessorCountsARunOfAnEndedJobForItsTeam)
{
  TeamCell cell(1);
  cell.Configure({ TeamCell::Team("red", 2000) });
  cell.SubmitAs("red", "j", { CellFixture::Step(1) });
  const auto run = cell.mRunning.front().second;
  cell.Call(JobCallKind::Cancel, "j");
  cell.StoreAll();
  TeamCell next(0);
  static_cast<CellFixture&>(next) = cell.Successor();
  CHECK_EQUAL(0, next.Charged("red"));
  next.Poll("w1", { CellFixture::Running(run) }, {});
  CHECK(next.Charged("red") > 0);
  next.SubmitAs("red", "k", { CellFixture::Step(1) });
  CHECK_EQUAL(0, next.CountRunning("k"));
  next.Poll("w1", {}, { CellFixture::Ended(1, run, RunEnd::Stopped) });
  next.StoreAll();
  next.AcceptStarts();
  CHECK_EQUAL(1, next.CountRunning("k"));
}
