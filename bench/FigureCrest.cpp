#include "Figures.h"

#include <cstdio>
#include <map>

#include "Generate.h"
#include "Policies.h"
#include "Replay.h"
#include "Statistics.h"

namespace by {

namespace {

constexpr Time kCrestFrom = Time::FromSeconds(8);
constexpr Time kCrestTo = Time::FromSeconds(43);
constexpr Time kEnd = Time::FromSeconds(75);
constexpr std::int64_t kReserve = 25;
constexpr double kP99 = 0.99;

/// The figures of one policy at one load, by metric.
using CrestFigures = std::map<std::string, std::vector<double>>;

std::string
Setting(const char* aSize, double aLoad)
{
  char buf[64];
  std::snprintf(buf, sizeof buf, "%s load=%.1f", aSize, aLoad);
  return buf;
}

void
Collect(CrestFigures& aFigures,
        const ArrivalList& aList,
        const ReplayResult& aResult,
        const std::string& aKind)
{
  const auto waits = WaitsOf(aList, aResult, aKind, kCrestFrom, kCrestTo);
  aFigures[aKind + " p50 ms"].push_back(Quantile(waits, 0.5));
  aFigures[aKind + " p99 ms"].push_back(Quantile(waits, kP99));
  aFigures[aKind + " p99.9 ms"].push_back(Quantile(waits, 0.999));
  aFigures[aKind + " refused %"].push_back(
    RefusedPercent(aList, aResult, aKind, kCrestFrom, kCrestTo));
}

/// @returns the 99th percentile of quotes' waits for each second of arrival.
PlotLine
LineOf(const std::string& aName, const ArrivalList& aList, const ReplayResult& aResult)
{
  PlotLine line{ .mName = aName, .mPoints = {} };
  for (std::int64_t second = 0; second < 60; ++second) {
    const auto waits = WaitsOf(
      aList, aResult, "fare-quote", Time::FromSeconds(second), Time::FromSeconds(second + 1));
    line.mPoints.emplace_back(second, Quantile(waits, kP99));
  }
  return line;
}

CrestFigures
RunPolicy(const FigureSettings& aSettings,
          const NamedPolicy& aPolicy,
          double aLoad,
          bool aFullSize,
          std::vector<PlotLine>& aLines)
{
  CrestFigures figures;
  const auto repetitions = aFullSize ? 1 : aSettings.mRepetitions;
  for (std::int64_t i = 0; i < repetitions; ++i) {
    const auto list =
      GenerateArreo(aFullSize, aLoad, aSettings.mSeed + static_cast<std::uint64_t>(i));
    const auto result = Replay(list, ConfigFor(list, aPolicy, kReserve), kEnd);
    Collect(figures, list, result, "fare-quote");
    Collect(figures, list, result, "permit-check");
    const auto plans = WaitsOf(list, result, "route-plan", kCrestFrom, kCrestTo);
    figures["route-plan p50 ms"].push_back(Quantile(plans, 0.5));
    figures["given way"].push_back(static_cast<double>(result.mPreemptions));
    figures["over capacity"].push_back(static_cast<double>(result.mOverCapacity));
    if (i == 0) {
      aLines.push_back(LineOf(aPolicy.mName, list, result));
    }
  }
  return figures;
}

void
AddTargets(Report& aReport,
           const std::string& aSetting,
           double aLoad,
           std::map<std::string, CrestFigures>& aByPolicy)
{
  constexpr double kTimesBetter = 10;
  constexpr double kBoundMs = 1500;
  constexpr double kRefusedAtMost = 1;
  const auto& ours = aByPolicy["ours"];
  const auto p99 = Mean(ours.at("fare-quote p99 ms"));
  if (aLoad == 1.0 && aByPolicy.contains("fifo_first_fit")) {
    const auto fifo = Mean(aByPolicy["fifo_first_fit"].at("fare-quote p99 ms"));
    AddRow(aReport,
           { "crest", aSetting, "ours", "quotes p99: fifo/ours", { fifo / std::max(p99, 1.0) } },
           ">= 10 times (ours counted as 1 ms at least)",
           fifo >= kTimesBetter * std::max(p99, 1.0));
  }
  if (aLoad == 1.5) {
    AddRow(aReport,
           { "crest", aSetting, "ours", "quotes p99 bound ms", { p99 } },
           "<= 1500 ms",
           p99 <= kBoundMs);
    const auto refused = Mean(ours.at("fare-quote refused %"));
    AddRow(aReport,
           { "crest", aSetting, "ours", "quotes refused %", { refused } },
           "<= 1% (what may wait gives way)",
           refused <= kRefusedAtMost);
  }
}

void
MeasureLoad(const FigureSettings& aSettings, double aLoad, bool aFullSize, Report& aReport)
{
  const auto setting = Setting(aFullSize ? "full" : "today", aLoad);
  std::vector<PlotLine> lines;
  std::map<std::string, CrestFigures> byPolicy;
  for (const auto& policy : AllPolicies()) {
    if (aFullSize && policy.mName != "ours") {
      continue;
    }
    byPolicy[policy.mName] = RunPolicy(aSettings, policy, aLoad, aFullSize, lines);
    for (const auto& [metric, values] : byPolicy[policy.mName]) {
      AddRow(aReport, { "crest", setting, policy.mName, metric, values });
    }
  }
  AddTargets(aReport, setting, aLoad, byPolicy);
  char name[64];
  std::snprintf(name, sizeof name, "crest-%s-%.1f.svg", aFullSize ? "full" : "today", aLoad);
  WritePlot("Quotes: 99th percentile of the wait, " + setting,
            "arrival, s",
            "wait, ms",
            lines,
            aSettings.mOut / name);
}

} // namespace

void
MeasureCrest(const FigureSettings& aSettings, Report& aReport)
{
  for (const double load : { 0.8, 1.0, 1.5 }) {
    MeasureLoad(aSettings, load, false, aReport);
  }
  if (!aSettings.mBrief) {
    MeasureLoad(aSettings, 1.0, true, aReport);
  }
}

} // namespace by
