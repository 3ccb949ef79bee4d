#include "by_cell/detail/PlacementPass.h"

#include <limits>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/Trials.h"
#include "by_placement/ResourceMath.h"
#include "by_queueing/GangReservation.h"

namespace by::detail {

namespace {

/// How far ahead a gang's start may lie for capacity to be reserved; about as long as a ticket is
/// valid.
constexpr Time kReservationTime = Time::FromMilliseconds(1500);
/// A limit that no count reaches.
constexpr std::size_t kUnlimitedSlots = std::numeric_limits<std::size_t>::max();
/// Interval between two lines of the log that say why a step waits.
constexpr Time kWaitReportInterval = Time::FromMilliseconds(1000);

/// The quarantined workers that a step may run on.
struct QuarantinedWorkers
{
  /// Those that are still aside or have their probe, and the tasks of the step that fit there.
  std::size_t mWorkers{ 0 };
  std::size_t mSlots{ 0 };
  /// Those that a probe may be placed on.
  std::size_t mProbes{ 0 };
};

QuarantinedWorkers
CountQuarantined(const PlacementPass& aPass, const JobRow& aJob, const ReadyKey& aKey)
{
  const auto& policy = PolicyOf(aPass.mState, aJob);
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto& tickets = aJob.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep].mAdvice.mTickets;
  QuarantinedWorkers quarantined;
  for (const auto& [id, worker] : aPass.mState.mWorkers) {
    const bool isAllowed = !policy.Advice() || tickets.contains(id);
    if (worker.mQuarantinedUntil == Time() || worker.mRegistration.Pool() != policy.Pool() ||
        worker.mHealth != WorkerHealth::Reachable || !isAllowed ||
        !HasLabel(worker, step.RequiredLabel())) {
      continue;
    }
    if (IsUsable(worker, policy.Pool(), aPass.mNow)) {
      ++quarantined.mProbes;
    } else {
      ++quarantined.mWorkers;
      quarantined.mSlots += CountFits(EffectiveDemand(step), FreeCapacity(worker), step.Count());
    }
  }
  return quarantined;
}

/// @param aSlots the free slots on usable workers.
/// @param aWithTicket those of them that tickets are held for.
/// @returns what a gang waits for.
const char*
WaitReason(std::size_t aTasks,
           std::size_t aSlots,
           std::size_t aWithTicket,
           const QuarantinedWorkers& aQuarantined)
{
  if (aSlots < aTasks) {
    return aSlots + aQuarantined.mSlots < aTasks ? "capacity" : "probe";
  }
  return aWithTicket < aTasks ? "advice" : "capacity";
}

} // namespace

const Candidates&
PoolOf(PlacementPass& aPass, const std::string& aPool)
{
  auto [it, isNew] = aPass.mPools.try_emplace(aPool);
  if (isNew) {
    it->second = UsableWorkers(aPass.mState, aPool, aPass.mNow);
    auto& index = aPass.mPoolIndexes[aPool];
    for (auto* worker : it->second) {
      index.emplace(worker->mRegistration.Id(), worker);
    }
  }
  return it->second;
}

AllowedWorkers
FindAllowed(PlacementPass& aPass, const std::string& aPool, const StepAdvice& aAdvice)
{
  PoolOf(aPass, aPool);
  const auto& index = aPass.mPoolIndexes.at(aPool);
  AllowedWorkers allowed;
  for (const auto& [id, ticket] : aAdvice.mTickets) {
    const auto it = index.find(id);
    if (it == index.end()) {
      continue;
    }
    allowed.mAll.push_back(it->second);
    if (HasTicket(aAdvice, *it->second, aPass.mNow)) {
      allowed.mWithTicket.push_back(it->second);
    }
  }
  return allowed;
}

JobTaskKey
TaskOf(const ReadyKey& aKey, std::uint32_t aIndex)
{
  return JobTaskKey::Create({ .mJob = aKey.mJob,
                              .mOccurrence = aKey.mOccurrence,
                              .mStep = aKey.mStep,
                              .mIndex = aIndex })
    .value();
}

std::size_t
CountSlots(const PlacementPass& aPass,
           const Candidates& aCandidates,
           const JobStep& aStep,
           const JobTaskKey& aTask,
           const StepRow& aRow,
           Time aLatestStart,
           std::size_t aLimit)
{
  std::size_t n = 0;
  for (const auto* worker : aCandidates) {
    if (n >= aLimit) {
      return n;
    }
    if (!IsKeptForTrial(*worker, aPass.mNow) &&
        MayUseCapacity(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      n += ForecastSlots(*worker, aStep, aTask, aPass.mNow, aPass.mNow).mSlots;
    }
  }
  return n;
}

std::size_t
ReserveForGang(PlacementPass& aPass,
               const JobStep& aStep,
               const JobTaskKey& aTask,
               StepRow& aRow,
               Time aLatestStart,
               const Candidates& aCandidates)
{
  aRow.mReservation = ++aPass.mState.mLastReservation;
  const auto soon = aPass.mNow + kReservationTime;
  std::vector<SlotForecast> forecasts;
  Candidates usable;
  for (auto* worker : aCandidates) {
    if (!IsKeptForTrial(*worker, aPass.mNow) &&
        MayUseCapacity(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      usable.push_back(worker);
      forecasts.push_back(ForecastSlots(*worker, aStep, aTask, soon, aPass.mNow));
    }
  }
  const auto reserved = ChooseReservedWorkers(forecasts, aStep.Count());
  for (const auto i : reserved) {
    ReserveWorker(aPass.mState, *usable[i], aRow.mReservation, soon);
  }
  return reserved.size();
}

void
ReportWait(PlacementPass& aPass,
           JobRow& aJob,
           const ReadyKey& aKey,
           Time aLatestStart,
           const Candidates& aAllowed,
           const Candidates& aCandidates,
           std::size_t aReserved)
{
  auto& row = aJob.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  if (aPass.mNow < row.mNextWaitReport) {
    return;
  }
  row.mNextWaitReport = aPass.mNow + kWaitReportInterval;
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto countSlots = [&](const Candidates& aWorkers) {
    return CountSlots(aPass, aWorkers, step, TaskOf(aKey, 0), row, aLatestStart, kUnlimitedSlots);
  };
  const auto slots = countSlots(aAllowed);
  const auto withTicket = countSlots(aCandidates);
  const auto aside = CountQuarantined(aPass, aJob, aKey);
  Log(aPass.mOut,
      "step.waiting",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("for=",
                   WaitReason(step.Count(), slots, withTicket, aside),
                   " tasks=",
                   step.Count(),
                   " slots=",
                   slots,
                   " slots_with_ticket=",
                   withTicket,
                   " allowed_workers=",
                   aAllowed.size(),
                   " reserved_workers=",
                   aReserved,
                   " until_latest_start_ms=",
                   (aLatestStart - aPass.mNow).Milliseconds(),
                   " workers_aside=",
                   aside.mWorkers,
                   " workers_to_probe=",
                   aside.mProbes,
                   " slots_aside=",
                   aside.mSlots));
}

} // namespace by::detail
