#include "by_entry/SampleConfig.h"

#include <map>
#include <numeric>
#include <string>

#include "by_entry/detail/Authentication.h"

namespace by {

namespace {

constexpr std::int64_t kPermille = 1000;

using SampleIndex = std::map<TeamId, TeamSample*>;

/// @returns the sample of the team of a job; null for a job without a team or of a team that the
/// configuration does not list.
TeamSample*
SampleOf(const SampleIndex& aIndex, const CellState& aCell, const std::string& aJob)
{
  TeamId team;
  if (const auto job = aCell.mJobs.find(aJob); job != aCell.mJobs.end()) {
    team = job->second.mTeam;
  } else if (const auto ended = aCell.mOutcomes.find(aJob); ended != aCell.mOutcomes.end()) {
    team = ended->second.mTeam;
  }
  const auto it = aIndex.find(team);
  return it == aIndex.end() ? nullptr : it->second;
}

Resources
Sum(const Resources& aLeft, const Resources& aRight)
{
  return aLeft.WithCpuMillis(aLeft.CpuMillis() + aRight.CpuMillis())
    .WithMemoryMb(aLeft.MemoryMb() + aRight.MemoryMb())
    .WithAccelerators(aLeft.Accelerators() + aRight.Accelerators());
}

void
AddCell(const CellState& aCell, const SampleIndex& aIndex)
{
  for (const auto& [name, worker] : aCell.mWorkers) {
    for (const auto& [id, run] : worker.mRuns) {
      if (auto* sample = SampleOf(aIndex, aCell, id.mTask.Job())) {
        sample->mUsage = Sum(sample->mUsage, run.mDemand);
      }
    }
  }
  for (const auto& key : aCell.mReady) {
    if (auto* sample = SampleOf(aIndex, aCell, key.mJob)) {
      ++sample->mWaitingSteps;
    }
  }
  for (const auto& [name, job] : aCell.mJobs) {
    if (const auto it = aIndex.find(job.mTeam); it != aIndex.end()) {
      ++it->second->mOpenJobs;
    }
  }
}

bool
HasWork(const TeamSample& aSample)
{
  return aSample.mOpenJobs > 0 || aSample.mUsage != Resources();
}

void
SetEntitlements(std::vector<TeamSample>& aTeams)
{
  const auto busy = std::accumulate(
    aTeams.begin(), aTeams.end(), std::int64_t{ 0 }, [](std::int64_t aSum, const auto& aTeam) {
      return aSum + (HasWork(aTeam) ? aTeam.mWeight : 0);
    });
  for (auto& team : aTeams) {
    const auto sum = busy + (HasWork(team) ? 0 : team.mWeight);
    team.mEntitledPermille = sum > 0 ? kPermille * team.mWeight / sum : 0;
  }
}

} // namespace

ConfigSample
SampleConfig(const EntryState& aState, Time aNow)
{
  ConfigSample sample;
  if (!aState.mConfig) {
    return sample;
  }
  sample.mVersion = aState.mConfig->Version();
  sample.mConfirmedAge = aNow - detail::ConfigConfirmedAt(aState);
  sample.mKeys = aState.mKeys.CountKeys();
  const auto& teams = aState.mConfig->Teams();
  // The index points into the vector, which must not grow afterwards.
  sample.mTeams.reserve(teams.size());
  SampleIndex index;
  for (const auto& team : teams) {
    // The first entry of a team that is listed twice applies.
    if (!index.contains(team.Name())) {
      sample.mTeams.push_back(
        { .mTeam = team.Name(), .mWeight = team.Weight(), .mQuota = team.Quota() });
      index[team.Name()] = &sample.mTeams.back();
    }
  }
  sample.mOwnsCell = aState.mCell.has_value();
  if (sample.mOwnsCell && !index.empty()) {
    AddCell(*aState.mCell, index);
    SetEntitlements(sample.mTeams);
  }
  return sample;
}

} // namespace by
