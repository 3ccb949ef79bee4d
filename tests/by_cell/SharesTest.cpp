#include "by_cell/TeamCell.h"

#include <CppUTest/TestHarness.h>

#include "by_cell/detail/Jobs.h"

using namespace by;

namespace {

JobStep::Fields
Gang(std::uint32_t aTasks)
{
  auto step = CellFixture::Step(aTasks);
  step.mGang = true;
  return step;
}

std::string
Numbered(const std::string& aName, int aNumber)
{
  return aName + std::to_string(aNumber);
}

/// A cell of eight cores, with two teams. Weights are multiplied so that their submissions stay
/// within the rates of the teams; their ratio decides the shares.
struct SharedCell : TeamCell
{
  static constexpr std::int64_t kWeightUnit = 100;

  explicit SharedCell(std::int64_t aRedWeight = 1, std::int64_t aBlueWeight = 1)
  {
    Configure(
      { Team("red", 0, aRedWeight * kWeightUnit), Team("blue", 0, aBlueWeight * kWeightUnit) });
  }

  /// Ends the oldest run, of any job.
  void EndOldest() { EndRuns(mRunning.front().second.mTask.Job(), 1); }

  /// Marks a job as one whose submission exceeded the rate of its team.
  void MarkExcess(const std::string& aJob)
  {
    auto& job = mCell.mJobs.at(aJob);
    job.mIsExcess = true;
    detail::RefreshOccurrence(mCell, job, 0);
  }
};

} // namespace

/// Teams share a full pool by weight. Without it the team that sent most got most.
TEST_GROUP(Shares){};

TEST(Shares, TeamBelowItsShareComesBeforeEarlierStepsOfOneAbove)
{
  SharedCell cell;
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  for (int i = 0; i < 10; ++i) {
    cell.SubmitAs("red", Numbered("r", i), { CellFixture::Step(1) });
  }
  cell.mNow = cell.mNow + Time::FromMilliseconds(10);
  cell.SubmitAs("blue", "b", { CellFixture::Step(2) });
  cell.EndRuns("running", 2);
  CHECK_EQUAL(2, cell.CountRunning("b"));
}

/// One pass placed all steps of the team that was first below its share.
TEST(Shares, UsageThatAPassAddsCountsInTheSamePass)
{
  SharedCell cell;
  for (const auto* team : { "red", "blue" }) {
    for (int i = 0; i < 10; ++i) {
      cell.SubmitUnstoredAs(team, Numbered(team, i), { CellFixture::Step(1) });
    }
  }
  cell.StoreAll();
  cell.AcceptStarts();
  CHECK_EQUAL(4000, cell.Charged("red"));
  CHECK_EQUAL(4000, cell.Charged("blue"));
}

/// Each team got what its queue was long enough for.
TEST(Shares, FullPoolIsDividedByWeight)
{
  SharedCell cell(3, 1);
  cell.SubmitAs("blue", "b", { CellFixture::Step(40) });
  cell.SubmitAs("red", "r", { CellFixture::Step(40) });
  CHECK_EQUAL(8, cell.CountRunning("b"));
  for (int i = 0; i < 8; ++i) {
    cell.EndOldest();
  }
  CHECK_EQUAL(6, cell.CountRunning("r"));
  CHECK_EQUAL(2, cell.CountRunning("b"));
  for (int i = 0; i < 12; ++i) {
    cell.EndOldest();
    CHECK_EQUAL(6, cell.CountRunning("r"));
  }
}

TEST(Shares, IdleCapacityGoesToTheTeamWithWork)
{
  SharedCell cell(1, 100);
  cell.SubmitAs("red", "r", { CellFixture::Step(8) });
  CHECK_EQUAL(8, cell.CountRunning("r"));
  cell.EndRuns("r", 8);
  CHECK(cell.mCell.mPoolUsage.empty());
}

/// A pass examines 400 steps.
TEST(Shares, LongQueueOfATeamHidesNoOtherTeam)
{
  SharedCell cell;
  auto large = CellFixture::Step(1);
  large.mDemand = large.mDemand.WithCpuMillis(2000);
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  for (int i = 0; i < 450; ++i) {
    cell.SubmitAs("red", Numbered("r", i), { large });
  }
  cell.SubmitAs("blue", "b", { CellFixture::Step(1) });
  cell.EndRuns("running", 1);
  CHECK_EQUAL(1, cell.CountRunning("b"));
}

/// The steps of a team that waits for its quota used up the pass.
TEST(Shares, LongQueueThatWaitsForItsQuotaHidesNoLaterPriority)
{
  TeamCell cell;
  cell.Configure({ TeamCell::Team("red", 1000), TeamCell::Team("blue", 0) });
  for (int i = 0; i < 450; ++i) {
    cell.SubmitAs("red", Numbered("r", i), { CellFixture::Step(1) });
  }
  cell.mQueue = cell.mQueue.WithPriority(1).WithPathPrefix("/low/");
  cell.SubmitAs("blue", "b", { CellFixture::Step(1) });
  CHECK_EQUAL(1, cell.CountRunning("b"));
}

/// Tasks of another team, with earlier latest starts, took each piece of capacity that a gang
/// needed.
TEST(Shares, GangOfATeamBelowItsShareIsNotDelayedByTasksOfOneAbove)
{
  SharedCell cell;
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  cell.mQueue = cell.mQueue.WithPathPrefix("/slack/").WithSlack(Time::FromSeconds(20));
  auto slow = CellFixture::Step(1);
  slow.mEstimate = Time::FromSeconds(5);
  for (int i = 0; i < 40; ++i) {
    cell.SubmitAs("red", Numbered("r", i), { slow });
  }
  cell.mQueue = cell.mQueue.WithPathPrefix("/more/").WithSlack(Time::FromSeconds(40));
  cell.SubmitAs("blue", "b", { Gang(3) });
  cell.EndRuns("running", 3);
  CHECK_EQUAL(3, cell.CountRunning("b"));
}

/// Gangs of one team kept capacity back that the tasks of another could use.
TEST(Shares, GangsOfATeamAboveItsShareReserveNothingFromOneBelow)
{
  SharedCell cell;
  cell.SubmitAs("red", "running", { Gang(8) });
  cell.mQueue = cell.mQueue.WithPathPrefix("/slack/").WithSlack(Time::FromSeconds(10));
  for (int i = 0; i < 10; ++i) {
    cell.SubmitAs("red", Numbered("r", i), { Gang(6) });
  }
  cell.mQueue = cell.mQueue.WithPathPrefix("/more/").WithSlack(Time::FromSeconds(20));
  auto slow = CellFixture::Step(1);
  slow.mEstimate = Time::FromSeconds(5);
  for (int i = 0; i < 4; ++i) {
    cell.SubmitAs("blue", Numbered("b", i), { slow });
  }
  cell.EndRuns("running", 4);
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(1, cell.CountRunning(Numbered("b", i)));
  }
}

/// A team that sends all the time kept another one waiting for good.
TEST(Shares, TeamBelowItsShareWaitsForOneEndAtMost)
{
  SharedCell cell;
  cell.SubmitAs("red", "r", { CellFixture::Step(200) });
  for (int i = 0; i < 20; ++i) {
    cell.mNow = cell.mNow + Time::FromSeconds(1);
    cell.SubmitAs("blue", Numbered("b", i), { CellFixture::Step(1) });
    cell.EndRuns("r", 1);
    CHECK_EQUAL(1, cell.CountRunning(Numbered("b", i)));
    cell.EndRuns(Numbered("b", i), 1);
  }
}

/// An idle team saves nothing up: once it is back it gets its share and no more.
TEST(Shares, IdleTeamAccumulatesNoCredit)
{
  SharedCell cell;
  cell.SubmitAs("red", "r", { CellFixture::Step(200) });
  for (int i = 0; i < 40; ++i) {
    cell.EndOldest();
  }
  cell.SubmitAs("blue", "b", { CellFixture::Step(100) });
  for (int i = 0; i < 16; ++i) {
    cell.EndOldest();
  }
  CHECK_EQUAL(4, cell.CountRunning("b"));
  CHECK_EQUAL(4, cell.CountRunning("r"));
}

TEST(Shares, ExcessStepsComeAfterLateOnesOfAllTeams)
{
  SharedCell cell;
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  cell.SubmitAs("blue", "excess", { CellFixture::Step(1) });
  cell.MarkExcess("excess");
  cell.SubmitAs("red", "late", { CellFixture::Step(1) });
  cell.mCell.mJobs.at("late").mOccurrences.at(0).mSteps[0].mUrgency = Urgency::Late;
  detail::RefreshOccurrence(cell.mCell, cell.mCell.mJobs.at("late"), 0);
  cell.EndRuns("running", 1);
  CHECK_EQUAL(1, cell.CountRunning("late"));
  CHECK_EQUAL(0, cell.CountRunning("excess"));
  cell.EndRuns("running", 1);
  CHECK_EQUAL(1, cell.CountRunning("excess"));
}

TEST(Shares, ExcessStepsComeBeforeOverdueOnes)
{
  SharedCell cell;
  cell.SubmitAs("red", "running", { CellFixture::Step(8) });
  cell.SubmitAs("blue", "overdue", { CellFixture::Step(1) });
  cell.mCell.mJobs.at("overdue").mOccurrences.at(0).mSteps[0].mUrgency = Urgency::Overdue;
  detail::RefreshOccurrence(cell.mCell, cell.mCell.mJobs.at("overdue"), 0);
  cell.SubmitAs("red", "excess", { CellFixture::Step(1) });
  cell.MarkExcess("excess");
  cell.EndRuns("running", 1);
  CHECK_EQUAL(1, cell.CountRunning("excess"));
}

/// A configuration without teams is served by latest start alone.
TEST(Shares, WithoutTeamsTheOrderIsThatOfTheLatestStart)
{
  TeamCell cell;
  cell.SubmitAs("", "running", { CellFixture::Step(8) });
  cell.SubmitAs("", "first", { CellFixture::Step(1) });
  cell.mNow = cell.mNow + Time::FromMilliseconds(10);
  cell.SubmitAs("", "a", { CellFixture::Step(1) });
  cell.EndRuns("running", 1);
  CHECK_EQUAL(1, cell.CountRunning("first"));
  CHECK_EQUAL(0, cell.CountRunning("a"));
}
