#include "by_cell/detail/PlacementPass.h"

#include <limits>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Room.h"
#include "by_cell/detail/Suitability.h"
#include "by_queueing/GangHold.h"

namespace by::detail {

namespace {

/// How long room may be held before the gang that it is held for can start; about as long as a
/// ticket is valid.
constexpr Time kHoldTime = Time::FromMilliseconds(1500);
/// Counts all slots.
constexpr std::size_t kNoLimitOfSlots = std::numeric_limits<std::size_t>::max();
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
  for (const auto& [id, until] : aAdvice.mValidUntil) {
    const auto it = index.find(id);
    if (it == index.end()) {
      continue;
    }
    allowed.mAll.push_back(it->second);
    if (IsTicketUsable(until, aPass.mNow)) {
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
    if (MayUseRoom(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      n += OutlookOf(*worker, aStep, aTask, aPass.mNow, aPass.mNow).mSlots;
    }
  }
  return n;
}

std::size_t
HoldRoom(PlacementPass& aPass,
         const JobStep& aStep,
         const JobTaskKey& aTask,
         StepRow& aRow,
         Time aLatestStart,
         const Candidates& aCandidates)
{
  aRow.mHold = ++aPass.mState.mLastHold;
  const auto soon = aPass.mNow + kHoldTime;
  std::vector<HostOutlook> outlooks;
  Candidates usable;
  for (auto* worker : aCandidates) {
    if (MayUseRoom(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      usable.push_back(worker);
      outlooks.push_back(OutlookOf(*worker, aStep, aTask, soon, aPass.mNow));
    }
  }
  const auto held = ChooseHeldWorkers(outlooks, aStep.Count());
  for (const auto i : held) {
    HoldWorker(aPass.mState, *usable[i], aRow.mHold, soon);
  }
  return held.size();
}

void
ReportWait(PlacementPass& aPass,
           const ReadyKey& aKey,
           StepRow& aRow,
           const JobStep& aStep,
           Time aLatestStart,
           const AllowedWorkers& aAllowed,
           std::size_t aHeld)
{
  if (aPass.mNow < aRow.mNextWaitReport) {
    return;
  }
  aRow.mNextWaitReport = aPass.mNow + kWaitReportInterval;
  const auto task = TaskOf(aKey, 0);
  const auto room =
    CountSlots(aPass, aAllowed.mAll, aStep, task, aRow, aLatestStart, kNoLimitOfSlots);
  const auto usable =
    CountSlots(aPass, aAllowed.mWithTicket, aStep, task, aRow, aLatestStart, kNoLimitOfSlots);
  const char* reason = room < aStep.Count() ? "room" : "advice";
  Log(aPass.mOut,
      "step.waiting",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("for=",
                   reason,
                   " tasks=",
                   aStep.Count(),
                   " slots=",
                   room,
                   " slots_with_ticket=",
                   usable,
                   " allowed_workers=",
                   aAllowed.mAll.size(),
                   " held_workers=",
                   aHeld,
                   " until_latest_start_ms=",
                   (aLatestStart - aPass.mNow).Milliseconds()));
}

} // namespace by::detail
