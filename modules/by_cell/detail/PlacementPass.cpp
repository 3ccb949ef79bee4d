#include "by_cell/detail/PlacementPass.h"

#include <limits>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Trials.h"
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
           const ReadyKey& aKey,
           StepRow& aRow,
           const JobStep& aStep,
           Time aLatestStart,
           const AllowedWorkers& aAllowed,
           std::size_t aReserved)
{
  if (aPass.mNow < aRow.mNextWaitReport) {
    return;
  }
  aRow.mNextWaitReport = aPass.mNow + kWaitReportInterval;
  const auto task = TaskOf(aKey, 0);
  const auto slots =
    CountSlots(aPass, aAllowed.mAll, aStep, task, aRow, aLatestStart, kUnlimitedSlots);
  const auto usable =
    CountSlots(aPass, aAllowed.mWithTicket, aStep, task, aRow, aLatestStart, kUnlimitedSlots);
  const char* reason = slots < aStep.Count() ? "capacity" : "advice";
  Log(aPass.mOut,
      "step.waiting",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("for=",
                   reason,
                   " tasks=",
                   aStep.Count(),
                   " slots=",
                   slots,
                   " slots_with_ticket=",
                   usable,
                   " allowed_workers=",
                   aAllowed.mAll.size(),
                   " reserved_workers=",
                   aReserved,
                   " until_latest_start_ms=",
                   (aLatestStart - aPass.mNow).Milliseconds()));
}

} // namespace by::detail
