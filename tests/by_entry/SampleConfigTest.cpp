// What metrics say of teams. A team whose usage is taken from other teams' runs, or that loses the
// runs of jobs that have just ended, shows an operator a quota with room that is not there.

#include <CppUTest/TestHarness.h>

#include "by_entry/SampleConfig.h"
#include "by_entry/StepEntry.h"

using namespace by;

namespace {

ClusterConfig
Config()
{
  const auto team = [](const char* aName, std::int64_t aWeight, const char* aKey) {
    return TeamPolicy::Create({ .mName = TeamId(aName),
                                .mKeys = { aKey },
                                .mWeight = aWeight,
                                .mQuota = Resources().WithCpuMillis(4000) })
      .value();
  };
  return ClusterConfig::Create(
           { .mVersion = 5,
             .mTeams = { team("a", 1, "k1"), team("b", 3, "k2"), team("a", 9, "k3") } })
    .value();
}

void
AddRun(CellState& aCell, const char* aJob, std::int64_t aCpu)
{
  RunRow run;
  run.mDemand = Resources().WithCpuMillis(aCpu);
  const auto task = JobTaskKey::Create({ .mJob = aJob }).value();
  aCell.mWorkers["w"].mRuns[RunId{ .mTask = task }] = run;
}

} // namespace

TEST_GROUP(SampleConfig)
{
  EntryState mState = MakeEntryState({});

  void setup() override
  {
    mState.mConfig = Config();
    mState.mKeys = KeyTable::Create(*mState.mConfig);
    mState.mJoinedAt = Time::FromMilliseconds(1000);
  }

  ConfigSample Sample() const
  {
    return SampleConfig(mState, Time::FromMilliseconds(1300));
  }
};

TEST(SampleConfig, IsEmptyWithoutAConfiguration)
{
  mState.mConfig.reset();
  CHECK(Sample() == ConfigSample());
}

TEST(SampleConfig, TeamListedTwiceHasTheFirstWeight)
{
  const auto sample = Sample();
  CHECK_FALSE(sample.mOwnsCell);
  LONGS_EQUAL(0, sample.mTeams[0].mEntitledPermille);
  LONGS_EQUAL(5, sample.mVersion);
  LONGS_EQUAL(300, sample.mConfirmedAge.Milliseconds());
  LONGS_EQUAL(3, sample.mKeys);
  LONGS_EQUAL(2, sample.mTeams.size());
  LONGS_EQUAL(1, sample.mTeams[0].mWeight);
  LONGS_EQUAL(4000, sample.mTeams[0].mQuota.CpuMillis());
}

TEST(SampleConfig, RunsCountForTheTeamsOfTheirJobs)
{
  auto& cell = mState.mCell.emplace();
  cell.mJobs["j1"].mTeam = TeamId("a");
  cell.mJobs["j2"].mTeam = TeamId("b");
  cell.mJobs["open"];
  cell.mOutcomes["ended"].mTeam = TeamId("a");
  AddRun(cell, "j1", 1000);
  AddRun(cell, "j2", 500);
  AddRun(cell, "ended", 250);
  AddRun(cell, "open", 2000);
  ReadyKey waiting;
  waiting.mJob = "j1";
  cell.mReady.insert(waiting);
  CHECK(Sample().mOwnsCell);
  const auto teams = Sample().mTeams;
  LONGS_EQUAL(1250, teams[0].mUsage.CpuMillis());
  LONGS_EQUAL(500, teams[1].mUsage.CpuMillis());
  LONGS_EQUAL(1, teams[0].mWaitingSteps);
  LONGS_EQUAL(0, teams[1].mWaitingSteps);
  LONGS_EQUAL(1, teams[0].mOpenJobs);
  LONGS_EQUAL(250, teams[0].mEntitledPermille);
  LONGS_EQUAL(750, teams[1].mEntitledPermille);
}

TEST(SampleConfig, IdleTeamsTakeNoShareFromTheOthers)
{
  auto& cell = mState.mCell.emplace();
  cell.mJobs["j1"].mTeam = TeamId("a");
  const auto teams = Sample().mTeams;
  LONGS_EQUAL(1000, teams[0].mEntitledPermille);
  LONGS_EQUAL(750, teams[1].mEntitledPermille);
}
