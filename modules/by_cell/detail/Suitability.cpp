#include "by_cell/detail/Suitability.h"

#include <algorithm>
#include <cmath>

#include "by_cell/detail/Tables.h"
#include "by_cell/detail/WorkerStatistics.h"
#include "by_placement/ResourceMath.h"

namespace by::detail {

namespace {

/// A gang counts as on time until this part of its declared time after its latest start.
constexpr std::int64_t kLateStartDivisor = 4;
/// Workers whose slowness differs by less than this rank as equally fast, and free capacity decides
/// between them.
constexpr double kSpeedClassWidth = 0.15;
/// A worker is fast enough for a step if the step has this many times the time that the worker is
/// expected to need: declared times are off by about a fifth, and a step waits for its slowest
/// task.
constexpr double kSpeedMargin = 2.0;
/// How long a worker that the registry dropped stays usable while it answers; its entry may
/// reappear.
constexpr Time kRegistryGrace = Time::FromMilliseconds(2000);

} // namespace

bool
IsUsable(const WorkerRow& aWorker, const std::string& aPool, Time aNow)
{
  const auto described = aWorker.mRegistration.ProcessStart();
  if (described != Time() && described != aWorker.mProcessStart) {
    // The entry describes an earlier process, and the current one may be of another kind.
    return false;
  }
  const bool isListed = aWorker.mRegistered || (aWorker.mDeregisteredAt > Time() &&
                                                aNow < aWorker.mDeregisteredAt + kRegistryGrace);
  if (!isListed || aWorker.mRegistration.Draining() || aWorker.mEvacuating ||
      aWorker.mRegistration.Pool() != aPool || aWorker.mHealth != WorkerHealth::Reachable ||
      aWorker.mPollFailures > 0) {
    return false;
  }
  if (aWorker.mQuarantinedUntil > Time()) {
    return aNow >= aWorker.mQuarantinedUntil && !IsProbed(aWorker);
  }
  return true;
}

bool
HasLabel(const WorkerRow& aWorker, const std::string& aLabel)
{
  const auto& labels = aWorker.mRegistration.Labels();
  return aLabel.empty() || std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

Time
LatestStart(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep)
{
  const auto objective = aJob.mObjective - aJob.mJob.Accepted();
  return aOccurrence.mDue + objective - aOccurrence.mSteps[aStep].mCriticalPath;
}

bool
CanBeOnTime(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow)
{
  const auto& step = StepOf(aJob, aStep);
  if (step.LongRunning()) {
    return true;
  }
  return aOccurrence.mSteps[aStep].mUrgency == Urgency::OnTime &&
         aNow < LatestStart(aJob, aOccurrence, aStep) + step.Estimate() / kLateStartDivisor;
}

double
SpareFactor(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow)
{
  const auto estimate = StepOf(aJob, aStep).Estimate();
  const auto left = LatestStart(aJob, aOccurrence, aStep) + estimate - aNow;
  return static_cast<double>(left.Milliseconds()) /
         static_cast<double>(std::max<std::int64_t>(1, estimate.Milliseconds()));
}

Suitability
SuitabilityOf(const CellState& aState,
              const WorkerRow& aWorker,
              const JobStep& aStep,
              double aSpare)
{
  auto slowness = aWorker.mSlowness;
  if (!aStep.DataRack().IsEmpty() && aStep.DataRack() != aWorker.mRegistration.Rack()) {
    slowness *= aState.mSettings.RemoteSlowdown();
  }
  const auto speed = std::llround(slowness / kSpeedClassWidth);
  const bool isQuickEnough = slowness * kSpeedMargin <= aSpare;
  return isQuickEnough ? Suitability{ 0, -speed } : Suitability{ 1, speed };
}

std::vector<WorkerRow*>
UsableWorkers(CellState& aState, const std::string& aPool, Time aNow)
{
  std::vector<WorkerRow*> usable;
  for (auto& [id, worker] : aState.mWorkers) {
    if (IsUsable(worker, aPool, aNow)) {
      usable.push_back(&worker);
    }
  }
  return usable;
}

bool
Interferes(const WorkerRow& aWorker, const JobStep& aStep)
{
  const bool isLatencySensitive = aStep.TailTarget() > Time();
  if (!isLatencySensitive && !aStep.Scavenging()) {
    return false;
  }
  return std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
    return isLatencySensitive ? aEntry.second.mIsScavenging : aEntry.second.mIsLatencySensitive;
  });
}

bool
CanHost(const WorkerRow& aWorker, const JobStep& aStep)
{
  return HasLabel(aWorker, aStep.RequiredLabel()) &&
         Fits(EffectiveDemand(aStep), FreeCapacity(aWorker)) && !Interferes(aWorker, aStep);
}

} // namespace by::detail
