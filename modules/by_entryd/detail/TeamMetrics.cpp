#include "by_entryd/detail/TeamMetrics.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace by::detail {

namespace {

constexpr double kPermille = 1000.0;
constexpr const char* kResourceNames[] = { "cpu_millis", "memory_mb", "accelerators" };

std::array<std::int64_t, 3>
AmountsOf(const Resources& aResources)
{
  return { aResources.CpuMillis(), aResources.MemoryMb(), aResources.Accelerators() };
}

prometheus::Family<prometheus::Gauge>&
AddGauges(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

TeamMetrics::TeamMetrics(prometheus::Registry& aRegistry)
  : mWeight(&AddGauges(aRegistry, "bergamotyard_team_weight", "Weight of a team"))
  , mEntitled(&AddGauges(aRegistry,
                         "bergamotyard_team_entitled_share",
                         "Share of the capacity that a team is entitled to"))
  , mWaitingSteps(&AddGauges(aRegistry,
                             "bergamotyard_team_waiting_steps",
                             "Steps of a team that wait for capacity or quota"))
  , mOpenJobs(&AddGauges(aRegistry,
                         "bergamotyard_team_open_jobs",
                         "Jobs of a team that are accepted and have not ended"))
  , mQuota(&AddGauges(aRegistry,
                      "bergamotyard_team_quota",
                      "Most that a team may use, by resource; 0 is no limit"))
  , mUsage(&AddGauges(aRegistry,
                      "bergamotyard_team_usage",
                      "What the runs of a team use on all workers, by resource"))
  , mRefused(&prometheus::BuildCounter()
                .Name("bergamotyard_team_refused_calls_total")
                .Help("Calls of a team that were refused, by reason")
                .Register(aRegistry))
{
}

TeamMetrics::Series
TeamMetrics::Add(const std::string& aTeam)
{
  Series series{ .mWeight = &mWeight->Add({ { "team", aTeam } }),
                 .mEntitled = &mEntitled->Add({ { "team", aTeam } }),
                 .mWaitingSteps = &mWaitingSteps->Add({ { "team", aTeam } }),
                 .mOpenJobs = &mOpenJobs->Add({ { "team", aTeam } }),
                 .mQuota = {},
                 .mUsage = {},
                 .mRefused = {} };
  for (std::size_t i = 0; i < kResources; ++i) {
    series.mQuota[i] = &mQuota->Add({ { "team", aTeam }, { "resource", kResourceNames[i] } });
    series.mUsage[i] = &mUsage->Add({ { "team", aTeam }, { "resource", kResourceNames[i] } });
  }
  for (std::size_t i = 0; i < kReasons; ++i) {
    series.mRefused[i] =
      &mRefused->Add({ { "team", aTeam }, { "reason", std::string(kRefusalReasons[i]) } });
  }
  return series;
}

void
TeamMetrics::Remove(const Series& aSeries)
{
  mWeight->Remove(aSeries.mWeight);
  mEntitled->Remove(aSeries.mEntitled);
  mWaitingSteps->Remove(aSeries.mWaitingSteps);
  mOpenJobs->Remove(aSeries.mOpenJobs);
  for (std::size_t i = 0; i < kResources; ++i) {
    mQuota->Remove(aSeries.mQuota[i]);
    mUsage->Remove(aSeries.mUsage[i]);
  }
  for (auto* counter : aSeries.mRefused) {
    mRefused->Remove(counter);
  }
}

void
TeamMetrics::Observe(const std::vector<TeamSample>& aTeams)
{
  std::set<std::string> names;
  for (const auto& team : aTeams) {
    const auto& name = *names.insert(team.mTeam.Text()).first;
    auto it = mTeams.find(name);
    if (it == mTeams.end()) {
      it = mTeams.emplace(name, Add(name)).first;
    }
    const auto& series = it->second;
    series.mWeight->Set(static_cast<double>(team.mWeight));
    series.mEntitled->Set(static_cast<double>(team.mEntitledPermille) / kPermille);
    series.mWaitingSteps->Set(static_cast<double>(team.mWaitingSteps));
    series.mOpenJobs->Set(static_cast<double>(team.mOpenJobs));
    const auto quota = AmountsOf(team.mQuota);
    const auto usage = AmountsOf(team.mUsage);
    for (std::size_t i = 0; i < kResources; ++i) {
      series.mQuota[i]->Set(static_cast<double>(quota[i]));
      series.mUsage[i]->Set(static_cast<double>(usage[i]));
    }
  }
  std::erase_if(mTeams, [&](const auto& aEntry) {
    const bool isGone = !names.contains(aEntry.first);
    if (isGone) {
      Remove(aEntry.second);
    }
    return isGone;
  });
}

void
TeamMetrics::Count(const Refusal& aRefusal)
{
  const auto it = mTeams.find(aRefusal.mTeam);
  const auto* reason =
    std::find(std::begin(kRefusalReasons), std::end(kRefusalReasons), aRefusal.mReason);
  if (it != mTeams.end() && reason != std::end(kRefusalReasons)) {
    it->second.mRefused[static_cast<std::size_t>(reason - std::begin(kRefusalReasons))]->Increment(
      static_cast<double>(aRefusal.mCount));
  }
}

} // namespace by::detail
