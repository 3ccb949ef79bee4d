#include "Figures.h"

#include <chrono>

#include "Generate.h"
#include "Policies.h"
#include "Replay.h"
#include "Statistics.h"
#include "by_scheduling/by_scheduling.h"

namespace by {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kWave = 10'000;
constexpr int kQueued = 100'000;
constexpr std::int64_t kReserve = 25;

WorkItem
QueuedItem(int aIndex, const std::string& aTeam)
{
  return WorkItem::Create({ .mTask = TaskId("q" + std::to_string(aIndex)),
                            .mTeam = TeamId(aTeam),
                            .mKind = "flood",
                            .mResources = Resources::Create({ .mCpuMillis = 16'000 }).value(),
                            .mStartBy = Time::FromSeconds(100'000) })
    .value();
}

/// @returns the time of each of 10,000 cancellations among 100,000 queued tasks, in microseconds.
std::vector<double>
TimeWave(const NamedPolicy& aPolicy)
{
  ArrivalList list;
  list.mFleet = FleetOfToday(8, 3);
  const auto policy = PolicyFrom(ConfigFor(list, aPolicy, 0)).value();
  Scheduler scheduler;
  for (const auto& vm : VmsOf(list.mFleet)) {
    PutVm(scheduler, vm, Time());
  }
  for (int i = 0; i < kQueued; ++i) {
    const bool wave = i % (kQueued / kWave) == 0;
    SubmitWork(scheduler, policy, QueuedItem(i, wave ? "wave" : "other"), Time());
  }
  std::vector<double> micros;
  for (int i = 0; i < kQueued; i += kQueued / kWave) {
    const auto begin = Clock::now();
    CancelWork(scheduler, TaskId("q" + std::to_string(i)));
    const std::chrono::duration<double, std::micro> took = Clock::now() - begin;
    micros.push_back(took.count());
  }
  return micros;
}

/// Adds a team that floods the queue in one go and cancels all of it later.
void
AddWave(ArrivalList& aList)
{
  const auto floods = Time::FromSeconds(15);
  const auto cancels = Time::FromSeconds(25);
  aList.mTeams.push_back(TeamConfig::Create({ .mTeam = TeamId("wave") }).value());
  DrawSource source(aList.mSeed);
  const KindProfile kind{ .mKind = "flood",
                          .mTaken =
                            Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 1024 }).value(),
                          .mMean = Time::FromMilliseconds(400),
                          .mMaxWait = Time::FromSeconds(60) };
  for (int i = 0; i < kWave; ++i) {
    AddTask(aList, source, kind, TeamId("wave"), floods);
    aList.mArrivals.back().mCancelled = cancels;
  }
  SortArrivals(aList);
}

double
PermitP99(const NamedPolicy& aPolicy, bool aWithWave, std::uint64_t aSeed)
{
  auto list = GenerateArreo(false, 0.8, aSeed);
  if (aWithWave) {
    AddWave(list);
  }
  const auto result = Replay(list, ConfigFor(list, aPolicy, kReserve), Time::FromSeconds(75));
  const auto waits =
    WaitsOf(list, result, "permit-check", Time::FromSeconds(15), Time::FromSeconds(35));
  return Quantile(waits, 0.99);
}

} // namespace

void
MeasureCancellations(const FigureSettings& aSettings, Report& aReport)
{
  constexpr double kMostExtraMs = 50;
  for (const auto& policy : AllPolicies()) {
    const auto micros = TimeWave(policy);
    const auto& name = policy.mName;
    AddRow(aReport,
           { "cancel", "10000 of 100000", name, "cancellation p50 us", { Quantile(micros, 0.5) } });
    AddRow(
      aReport,
      { "cancel", "10000 of 100000", name, "cancellation p99 us", { Quantile(micros, 0.99) } });
    std::vector<double> without;
    std::vector<double> with;
    for (std::int64_t i = 0; i < aSettings.mRepetitions; ++i) {
      const auto seed = aSettings.mSeed + static_cast<std::uint64_t>(i);
      without.push_back(PermitP99(policy, false, seed));
      with.push_back(PermitP99(policy, true, seed));
    }
    const auto extra = Mean(with) - Mean(without);
    AddRow(aReport, { "cancel", "others' permit checks", name, "p99 without wave ms", without });
    ReportRow row{ "cancel", "others' permit checks", name, "p99 with wave ms", with };
    if (name == "ours") {
      AddRow(aReport, std::move(row), "<= 50 ms more than without", extra <= kMostExtraMs);
    } else {
      AddRow(aReport, std::move(row));
    }
  }
}

} // namespace by
