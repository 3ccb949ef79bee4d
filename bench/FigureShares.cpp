#include "Figures.h"

#include <algorithm>

#include "Generate.h"
#include "Policies.h"
#include "Replay.h"
#include "Statistics.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/by_scheduling.h"

namespace by {

namespace {

constexpr Time kWindow = Time::FromSeconds(60);
constexpr double kPercent = 100;

double
DominantPart(const Resources& aUsed, const VmFleet& aFleet)
{
  const auto used = AmountsOf(aUsed);
  const auto capacity = AmountsOf(aFleet.mCapacity);
  double part = 0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (capacity[i] > 0) {
      part = std::max(
        part, static_cast<double>(used[i]) / static_cast<double>(capacity[i] * aFleet.mVms));
    }
  }
  return part;
}

/// @returns the least, over all windows in which the team always had work waiting, of what it held
/// on average against its bought part, in percent; 100 at most.
double
LeastOf(const ArrivalList& aList, const ReplayResult& aResult, std::size_t aTeam, double aBought)
{
  std::vector<double> sums{ 0 };
  std::vector<std::size_t> idle{ 0 };
  for (const auto& sample : aResult.mSamples) {
    sums.push_back(sums.back() + DominantPart(sample.mUsedByTeam[aTeam], aList.mFleet));
    idle.push_back(idle.back() + (sample.mWaitingByTeam[aTeam] == 0 ? 1 : 0));
  }
  const auto step = (aResult.mSamples[1].mAt - aResult.mSamples[0].mAt).Milliseconds();
  const auto length = static_cast<std::size_t>(kWindow.Milliseconds() / step);
  double least = kPercent;
  for (std::size_t i = 0; i + length < sums.size(); ++i) {
    if (idle[i + length] == idle[i]) {
      const auto held = (sums[i + length] - sums[i]) / static_cast<double>(length);
      least = std::min(least, kPercent * held / aBought);
    }
  }
  return least;
}

/// @returns the least of all teams.
double
LeastShare(const ArrivalList& aList, const ReplayResult& aResult)
{
  double all = 0;
  for (const auto& team : aList.mTeams) {
    all += static_cast<double>(team.Share());
  }
  double least = kPercent;
  for (std::size_t i = 0; i < aList.mTeams.size(); ++i) {
    const auto bought = static_cast<double>(aList.mTeams[i].Share()) / all;
    least = std::min(least, LeastOf(aList, aResult, i, bought));
  }
  return least;
}

void
MeasureStanding(const FigureSettings& aSettings, std::int64_t aTeams, bool aEqual, Report& aReport)
{
  constexpr double kTarget = 98;
  const auto setting = std::to_string(aTeams) + (aEqual ? " teams equal" : " teams unequal");
  for (const auto& policy : AllPolicies()) {
    std::vector<double> least;
    for (std::int64_t i = 0; i < aSettings.mRepetitions; ++i) {
      const auto list =
        GenerateStandingDemand(aTeams, aEqual, aSettings.mSeed + static_cast<std::uint64_t>(i));
      const auto result = Replay(list, ConfigFor(list, policy, 0), Time::FromSeconds(150));
      least.push_back(LeastShare(list, result));
    }
    ReportRow row{ "shares", setting, policy.mName, "least share over 60 s %", least };
    if (policy.mName == "ours") {
      const auto lowest = *std::min_element(least.begin(), least.end());
      AddRow(aReport, std::move(row), ">= 98% in every repetition", lowest >= kTarget);
    } else {
      AddRow(aReport, std::move(row));
    }
  }
}

/// Offers far more than a quota allows to nine nodes and sums what they hold.
double
LargestExcess(const NamedPolicy& aPolicy, std::uint64_t aSeed)
{
  constexpr std::int64_t kNodes = 9;
  constexpr std::int64_t kQuotaCores = 100'000;
  constexpr int kOffers = 20'000;
  const auto quota = Resources::Create({ .mCpuMillis = kQuotaCores }).value();
  ArrivalList list;
  list.mTeams = { TeamConfig::Create({ .mTeam = TeamId("team"), .mRequestQuota = quota }).value() };
  list.mFleet = FleetOfToday(8, 3);
  const auto config = ConfigFor(list, aPolicy, 0);
  const auto policy = PolicyFrom(config).value();
  std::vector<Scheduler> nodes(kNodes);
  for (auto& node : nodes) {
    SetTeams(node, config, 1000 / kNodes);
    for (const auto& vm : VmsOf(list.mFleet)) {
      PutVm(node, vm, Time());
    }
  }
  DrawSource source(aSeed);
  std::int64_t largest = 0;
  for (int i = 0; i < kOffers; ++i) {
    auto& node = nodes[static_cast<std::size_t>(DrawWhole(source, 0, kNodes - 1))];
    const auto now = Time::FromMilliseconds(i);
    const auto taken = Resources::Create({ .mCpuMillis = DrawWhole(source, 100, 4000) }).value();
    SubmitWork(node,
               policy,
               WorkItem::Create({ .mTask = TaskId("t" + std::to_string(i)),
                                  .mTeam = TeamId("team"),
                                  .mResources = taken,
                                  .mStartBy = now + Time::FromSeconds(5) })
                 .value(),
               now);
    if (!node.mRunning.empty() && DrawUnit(source) < 0.5) {
      const auto task = node.mRunning.begin()->first;
      TaskEnded(node, task, TaskState::Succeeded, Time::FromMilliseconds(5), now);
      Dispatch(node, policy, now);
    }
    std::int64_t held = 0;
    for (const auto& each : nodes) {
      held += each.mVms.mCommitted.CpuMillis();
    }
    largest = std::max(largest, held);
  }
  return static_cast<double>(std::max<std::int64_t>(largest - kQuotaCores, 0));
}

} // namespace

void
MeasureShares(const FigureSettings& aSettings, Report& aReport)
{
  constexpr std::int64_t kPartners = 4;
  constexpr std::int64_t kTeamsOfFullSize = 150;
  MeasureStanding(aSettings, kPartners, true, aReport);
  MeasureStanding(aSettings, kPartners, false, aReport);
  MeasureStanding(aSettings, kTeamsOfFullSize, true, aReport);
  for (const auto& policy : AllPolicies()) {
    std::vector<double> excess;
    for (std::int64_t i = 0; i < aSettings.mRepetitions; ++i) {
      excess.push_back(LargestExcess(policy, aSettings.mSeed + static_cast<std::uint64_t>(i)));
    }
    const auto most = *std::max_element(excess.begin(), excess.end());
    AddRow(aReport,
           { "quota", "9 nodes", policy.mName, "largest excess millicores", excess },
           "0",
           most == 0);
  }
}

} // namespace by
