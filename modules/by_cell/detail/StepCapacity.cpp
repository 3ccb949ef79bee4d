#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Suitability.h"

#include <algorithm>
#include <cmath>

#include "by_cell/detail/PollTimes.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/WorkerStatistics.h"
#include "by_placement/ResourceMath.h"
#include "by_queueing/GangReservation.h"

namespace by::detail {

std::uint32_t
CountRunsOfStep(const WorkerRow& aWorker, const JobTaskKey& aTask)
{
  std::uint32_t n = 0;
  const RunId first{ aTask.WithIndex(0), 0 };
  for (auto it = aWorker.mRuns.lower_bound(first); it != aWorker.mRuns.end(); ++it) {
    const auto& other = it->first.mTask;
    if (other.Job() != aTask.Job() || other.Occurrence() != aTask.Occurrence() ||
        other.Step() != aTask.Step()) {
      break;
    }
    ++n;
  }
  return n;
}

SlotForecast
ForecastSlots(const WorkerRow& aWorker,
              const JobStep& aStep,
              const JobTaskKey& aTask,
              Time aSoon,
              Time aNow)
{
  if (!HasLabel(aWorker, aStep.RequiredLabel()) || Interferes(aWorker, aStep) ||
      IsProbed(aWorker)) {
    return {};
  }
  auto limit = ProbeLimit(aWorker, aStep);
  if (aStep.SpreadLimit() > 0) {
    const auto runs = CountRunsOfStep(aWorker, aTask);
    limit = std::min(limit, aStep.SpreadLimit() - std::min(aStep.SpreadLimit(), runs));
  }
  const auto demand = EffectiveDemand(aStep);
  const auto free = FreeCapacity(aWorker);
  const auto slots = CountFits(demand, free, limit);
  if (slots == limit || aSoon <= aNow) {
    return { slots, slots };
  }
  auto freeSoon = free;
  for (const auto& [run, row] : aWorker.mRuns) {
    if (row.mPhase == RunPhase::Confirmed && ExpectedEnd(aWorker, row, aNow) <= aSoon) {
      freeSoon = Plus(freeSoon, row.mDemand);
    }
  }
  return { slots, CountFits(demand, freeSoon, limit) };
}

void
ReserveWorker(const CellState& aState, WorkerRow& aWorker, std::uint64_t aReservation, Time aUntil)
{
  aWorker.mReservation = aReservation;
  aWorker.mReservedInPass = aState.mPlacementPass;
  aWorker.mReservedUntil = aUntil;
}

bool
MayUseCapacity(const CellState& aState,
               const WorkerRow& aWorker,
               const JobStep& aStep,
               const StepRow& aRow,
               Time aLatestStart,
               Time aNow)
{
  if (aWorker.mReservedInPass == 0 || aWorker.mReservedInPass != aState.mPlacementPass ||
      aWorker.mReservation == aRow.mReservation || aStep.LongRunning()) {
    return true;
  }
  const auto run = std::llround(static_cast<double>(aStep.Estimate().Milliseconds()) *
                                std::max(1.0, aWorker.mSlowness));
  return MayBackfill(
    aNow + Time::FromMilliseconds(run), aLatestStart, aWorker.mReservedUntil, aNow);
}

} // namespace by::detail
