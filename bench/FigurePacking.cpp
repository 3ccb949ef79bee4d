#include "Figures.h"

#include <algorithm>

#include "Generate.h"
#include "Policies.h"
#include "Replay.h"
#include "Statistics.h"
#include "by_placement/ResourceMath.h"

namespace by {

namespace {

constexpr Time kEnd = Time::FromSeconds(3600);
constexpr Time kFull = Time::FromSeconds(35);
constexpr double kPercent = 100;

ResourceAmounts
CapacityOf(const VmFleet& aFleet)
{
  auto all = AmountsOf(aFleet.mCapacity);
  for (auto& amount : all) {
    amount *= aFleet.mVms;
  }
  return all;
}

/// @returns the resource of which the list wants most against what there is.
std::size_t
ScarcestOf(const ArrivalList& aList)
{
  const auto capacity = CapacityOf(aList.mFleet);
  std::array<double, kResourceKinds> wanted{};
  for (const auto& arrival : aList.mArrivals) {
    const auto taken = AmountsOf(EffectiveDemandOf(arrival.mItem.Resources()));
    for (std::size_t i = 0; i < kResourceKinds; ++i) {
      if (capacity[i] > 0) {
        wanted[i] += static_cast<double>(taken[i]) *
                     static_cast<double>(arrival.mRuns.Milliseconds()) /
                     static_cast<double>(capacity[i]);
      }
    }
  }
  return static_cast<std::size_t>(std::max_element(wanted.begin(), wanted.end()) - wanted.begin());
}

/// What was in use of the scarcest resource against what pouring all work in fluidly would use.
struct PackingShare
{
  double mUsed{ 0 };
  double mFluid{ 0 };
  PlotLine mLine{};
};

PackingShare
PackingOf(const ArrivalList& aList, const ReplayResult& aResult)
{
  const auto scarcest = ScarcestOf(aList);
  const auto capacity = CapacityOf(aList.mFleet)[scarcest];
  PackingShare share;
  for (const auto& sample : aResult.mSamples) {
    const auto used = AmountsOf(sample.mUsed)[scarcest];
    const auto waiting = AmountsOf(sample.mWaiting)[scarcest];
    const auto fluid = std::min(capacity, used + waiting);
    share.mLine.mPoints.emplace_back(static_cast<double>(sample.mAt.Milliseconds()) / 1000,
                                     kPercent * static_cast<double>(used) /
                                       static_cast<double>(std::max<std::int64_t>(fluid, 1)));
    if (sample.mAt >= kFull && waiting > 0) {
      share.mUsed += static_cast<double>(used);
      share.mFluid += static_cast<double>(fluid);
    }
  }
  return share;
}

std::vector<double>
GangWaits(const ArrivalList& aList, const ReplayResult& aResult)
{
  return WaitsOf(aList, aResult, "season-gang", Time(), kEnd);
}

} // namespace

void
MeasurePacking(const FigureSettings& aSettings, Report& aReport)
{
  constexpr double kTarget = 95;
  std::vector<PlotLine> lines;
  for (const auto& policy : AllPolicies()) {
    std::vector<double> packed;
    std::vector<double> gangs;
    std::vector<double> waits;
    std::vector<double> over;
    for (std::int64_t i = 0; i < aSettings.mRepetitions; ++i) {
      const auto list = GenerateBacklog(aSettings.mSeed + static_cast<std::uint64_t>(i));
      const auto result = Replay(list, ConfigFor(list, policy, 0), kEnd);
      auto share = PackingOf(list, result);
      packed.push_back(kPercent * share.mUsed / std::max(share.mFluid, 1.0));
      gangs.push_back(Quantile(GangWaits(list, result), 0.5) / 1000);
      double sum = 0;
      for (std::size_t n = 0; n < list.mArrivals.size(); ++n) {
        sum += static_cast<double>(
          (result.mTasks[n].mStarted - list.mArrivals[n].mItem.Arrived()).Milliseconds());
      }
      waits.push_back(sum / static_cast<double>(list.mArrivals.size()) / 1000);
      over.push_back(static_cast<double>(result.mOverCapacity));
      if (i == 0) {
        share.mLine.mName = policy.mName;
        lines.push_back(std::move(share.mLine));
      }
    }
    AddRow(aReport, { "packing", "backlog", policy.mName, "mean wait s", waits });
    AddRow(aReport, { "packing", "backlog", policy.mName, "gang wait p50 s", gangs });
    AddRow(aReport, { "packing", "backlog", policy.mName, "over capacity", over });
    ReportRow row{ "packing", "backlog", policy.mName, "in use against fluid %", packed };
    if (policy.mName == "ours") {
      const auto mean = Mean(packed);
      AddRow(aReport, std::move(row), ">= 95%", mean >= kTarget);
    } else {
      AddRow(aReport, std::move(row));
    }
  }
  WritePlot("Scarcest resource in use against a fluid bound",
            "time, s",
            "percent",
            lines,
            aSettings.mOut / "packing.svg");
}

} // namespace by
