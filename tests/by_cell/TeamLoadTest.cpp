#include "by_cell/LoadReplay.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr int kWorkers = 20;
constexpr int kNodes = 16;
constexpr int kTeams = 20;
/// Three tasks of 0.8 s, of which a worker runs four at a time: each team uses 83 % / 20 of the
/// capacity.
constexpr std::uint32_t kTasks = 3;
constexpr Time kObjective = Time::FromMilliseconds(1450);
constexpr std::int64_t kIntervalMs = 724;
constexpr std::int64_t kEndMs = 12000;
/// While it sends more, the first team sends 7.5 times its usual load.
constexpr std::int64_t kNoisyIntervalMs = 97;
constexpr std::int64_t kNoisyFromMs = 2000;
constexpr std::int64_t kNoisyToMs = 10000;
/// Above the rate of every team, so that admission control refuses nothing and only the order of
/// placement protects the others.
constexpr std::int64_t kWeight = 20;

TeamId
TeamOf(int aNumber)
{
  return TeamId("team" + std::to_string(aNumber));
}

std::vector<LoadReplay::Arrival>
ArrivalsBesideANoisyTeam()
{
  std::vector<LoadReplay::Arrival> arrivals;
  for (int team = 0; team < kTeams; ++team) {
    std::int64_t at = kIntervalMs * team / kTeams;
    while (at < kEndMs) {
      arrivals.push_back({ .mAt = Time::FromMilliseconds(at),
                           .mPriority = 0,
                           .mTasks = kTasks,
                           .mObjective = kObjective,
                           .mTeam = TeamOf(team) });
      const bool isNoisy = team == 0 && at >= kNoisyFromMs && at < kNoisyToMs;
      at += isNoisy ? kNoisyIntervalMs : kIntervalMs;
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return arrivals;
}

} // namespace

/// One team at 7.5 times its usual load beside nineteen others, at 83 % of the capacity before: the
/// queue of the first grew, and the jobs of all others waited behind it.
TEST_GROUP(SharedPool){};

TEST(SharedPool, TeamAtManyTimesItsUsualLoadDelaysNoOther)
{
  LoadReplay replay(kWorkers, kNodes);
  std::vector<TeamPolicy> teams;
  for (int team = 0; team < kTeams; ++team) {
    teams.push_back(TeamPolicy::Create({ .mName = TeamOf(team), .mWeight = kWeight }).value());
  }
  ConfigureCell(replay.mCell, replay.mCell.mConfig.WithTeams(teams));
  replay.Play(ArrivalsBesideANoisyTeam());
  double worst = 1;
  for (int team = 1; team < kTeams; ++team) {
    worst = std::min(worst, replay.OnTimeOfTeam(TeamOf(team)));
  }
  CHECK(worst > 0.9);
  // What the others leave is not withheld from the first team.
  CHECK(replay.OnTimeOfTeam(TeamOf(0)) > 0.2);
}
