#include "Figures.h"

#include <chrono>
#include <cmath>

#include "Draw.h"
#include "Generate.h"
#include "Policies.h"
#include "Replay.h"
#include "Statistics.h"
#include "by_scheduling/by_scheduling.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

/// A scheduler filled to one size, and what it takes to go on with it.
struct CostSetup
{
  Scheduler mScheduler;
  SchedulingPolicy mPolicy;
  std::vector<TaskId> mRunning;
  std::int64_t mNextTask{ 0 };
  DrawSource mSource{ 1 };
};

constexpr std::int64_t kTeams = 150;
constexpr std::int64_t kKinds = 8;

WorkItem
NextItem(CostSetup& aSetup)
{
  const auto n = aSetup.mNextTask++;
  const auto kind = DrawWhole(aSetup.mSource, 0, kKinds - 1);
  return WorkItem::Create(
           { .mTask = TaskId("t" + std::to_string(n)),
             .mTeam = TeamId("team-" + std::to_string(DrawWhole(aSetup.mSource, 0, kTeams - 1))),
             .mKind = "kind-" + std::to_string(kind),
             .mPriority = kind == 0 ? Priority::Urgent : Priority::Normal,
             .mResources =
               Resources::Create({ .mCpuMillis = 2000 + 500 * kind,
                                   .mMemoryMb = DrawWhole(aSetup.mSource, 2, 10) * 1024,
                                   .mAccelerators = DrawUnit(aSetup.mSource) < 0.05 ? 1 : 0 })
                 .value(),
             .mStartBy = Time::FromSeconds(100'000),
             .mDeclaredLength = Time::FromMilliseconds(kind < 4 ? 500 : 60'000) })
    .value();
}

void
NotePlaced(CostSetup& aSetup, const ScheduleOutcome& aOutcome)
{
  for (const auto& placed : aOutcome.mPlaced) {
    aSetup.mRunning.push_back(placed.Task());
  }
}

/// Fills the VMs, then the queue.
void
Fill(CostSetup& aSetup, const NamedPolicy& aPolicy, std::int64_t aVms, std::size_t aQueued)
{
  ArrivalList list;
  list.mFleet = FleetOfFullSize(7);
  list.mFleet.mVms = aVms;
  list.mFleet.mAccelerators = 5'200 * aVms / 4'300;
  for (std::int64_t i = 0; i < kTeams; ++i) {
    list.mTeams.push_back(
      TeamConfig::Create({ .mTeam = TeamId("team-" + std::to_string(i)) }).value());
  }
  const auto config = ConfigFor(list, aPolicy, 25);
  aSetup.mPolicy = PolicyFrom(config).value();
  SetTeams(aSetup.mScheduler, config, 1000);
  for (const auto& vm : VmsOf(list.mFleet)) {
    PutVm(aSetup.mScheduler, vm, Time());
  }
  Dispatch(aSetup.mScheduler, aSetup.mPolicy, Time());
  while (aSetup.mScheduler.mQueue.mRows.size() < aQueued) {
    NotePlaced(aSetup, SubmitWork(aSetup.mScheduler, aSetup.mPolicy, NextItem(aSetup), Time()));
  }
}

/// One task ends, what waits takes its room, and another task is offered.
void
TimeOneStep(CostSetup& aSetup, Time aNow, std::vector<double>& aMicros, std::int64_t& aPlaced)
{
  const auto at = static_cast<std::size_t>(
    DrawWhole(aSetup.mSource, 0, static_cast<std::int64_t>(aSetup.mRunning.size()) - 1));
  const auto task = aSetup.mRunning[at];
  aSetup.mRunning[at] = aSetup.mRunning.back();
  aSetup.mRunning.pop_back();
  const auto item = NextItem(aSetup);
  const auto begin = Clock::now();
  TaskEnded(aSetup.mScheduler, task, TaskState::Succeeded, Time::FromMilliseconds(500), aNow);
  const auto dispatched = Dispatch(aSetup.mScheduler, aSetup.mPolicy, aNow);
  const auto offered = SubmitWork(aSetup.mScheduler, aSetup.mPolicy, item, aNow);
  const std::chrono::duration<double, std::micro> took = Clock::now() - begin;
  aMicros.push_back(took.count());
  aPlaced += static_cast<std::int64_t>(dispatched.mPlaced.size() + offered.mPlaced.size());
  NotePlaced(aSetup, dispatched);
  NotePlaced(aSetup, offered);
}

/// Figures of one policy at one size, one value for each repetition.
struct CostFigures
{
  std::vector<double> mP50;
  std::vector<double> mP99;
  std::vector<double> mPerSecond;
  std::vector<double> mRunning;
};

CostFigures
MeasureSize(const FigureSettings& aSettings,
            const NamedPolicy& aPolicy,
            std::int64_t aVms,
            int aSteps)
{
  constexpr double kMicrosPerSecond = 1e6;
  CostSetup setup;
  Fill(setup, aPolicy, aVms, static_cast<std::size_t>(100'000 * aVms / 4'300));
  CostFigures figures;
  for (std::int64_t i = 0; i < aSettings.mRepetitions; ++i) {
    std::vector<double> micros;
    std::int64_t placed = 0;
    for (int n = 0; n < aSteps; ++n) {
      TimeOneStep(setup, Time::FromMilliseconds(n), micros, placed);
    }
    const auto total = Mean(micros) * static_cast<double>(micros.size());
    figures.mP50.push_back(Quantile(micros, 0.5));
    figures.mP99.push_back(Quantile(micros, 0.99));
    figures.mPerSecond.push_back(static_cast<double>(placed) * kMicrosPerSecond / total);
    figures.mRunning.push_back(static_cast<double>(setup.mScheduler.mRunning.size()));
  }
  return figures;
}

/// @returns the exponent with which the cost grows with the number of VMs.
double
SlopeOf(const std::vector<std::pair<double, double>>& aPoints)
{
  const auto& [x1, y1] = aPoints.front();
  const auto& [x2, y2] = aPoints.back();
  return std::log(y2 / y1) / std::log(x2 / x1);
}

void
MeasurePolicy(const FigureSettings& aSettings,
              const NamedPolicy& aPolicy,
              Report& aReport,
              std::vector<PlotLine>& aLines)
{
  constexpr double kTargetPerSecond = 20'000;
  constexpr double kTargetP99 = 1000;
  const bool ours = aPolicy.mName == "ours";
  PlotLine line{ .mName = aPolicy.mName, .mPoints = {} };
  for (const std::int64_t vms : { 50, 500, 4'300 }) {
    const auto setting = std::to_string(vms) + " VMs";
    const auto figures = MeasureSize(aSettings, aPolicy, vms, ours ? 20'000 : 2'000);
    line.mPoints.emplace_back(vms, Mean(figures.mP50));
    AddRow(aReport, { "cost", setting, aPolicy.mName, "tasks running", figures.mRunning });
    AddRow(aReport, { "cost", setting, aPolicy.mName, "decision p50 us", figures.mP50 });
    ReportRow p99{ "cost", setting, aPolicy.mName, "decision p99 us", figures.mP99 };
    ReportRow rate{ "cost", setting, aPolicy.mName, "placements a second", figures.mPerSecond };
    if (ours && vms == 4'300) {
      AddRow(aReport, std::move(p99), "< 1000 us", Mean(figures.mP99) < kTargetP99);
      AddRow(aReport, std::move(rate), ">= 20000", Mean(figures.mPerSecond) >= kTargetPerSecond);
    } else {
      AddRow(aReport, std::move(p99));
      AddRow(aReport, std::move(rate));
    }
  }
  AddRow(aReport,
         { "cost",
           "50 to 4300 VMs",
           aPolicy.mName,
           "growth exponent of p50",
           { SlopeOf(line.mPoints) } });
  aLines.push_back(std::move(line));
}

} // namespace

void
MeasureCost(const FigureSettings& aSettings, Report& aReport)
{
  std::vector<PlotLine> lines;
  for (const auto& policy : AllPolicies()) {
    if (policy.mName == "ours" || policy.mName == "fifo_first_fit") {
      MeasurePolicy(aSettings, policy, aReport, lines);
    }
  }
  WritePlot(
    "Median time of one decision", "VMs", "microseconds", lines, aSettings.mOut / "cost.svg");
}

} // namespace by
