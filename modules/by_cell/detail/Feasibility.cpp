#include "by_cell/detail/Feasibility.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Tables.h"
#include "by_placement/ResourceMath.h"

namespace by::detail {

namespace {

/// @returns whether the registered workers of a pool could host a step, or all members of a gang,
/// if they had no runs.
bool
IsFeasible(const CellState& aState, const std::string& aPool, const JobStep& aStep)
{
  const std::uint32_t needed = aStep.Gang() ? aStep.Count() : 1;
  const auto limit = aStep.SpreadLimit() > 0 ? std::min(aStep.SpreadLimit(), needed) : needed;
  const auto demand = EffectiveDemand(aStep);
  std::uint32_t slots = 0;
  for (const auto& [id, worker] : aState.mWorkers) {
    const bool isLeaving = worker.mRegistration.Draining() || worker.mEvacuating;
    if (!worker.mRegistered || isLeaving || worker.mRegistration.Pool() != aPool ||
        !HasLabel(worker, aStep.RequiredLabel())) {
      continue;
    }
    slots += CountFits(demand, worker.mRegistration.Capacity(), limit);
    if (slots >= needed) {
      return true;
    }
  }
  return false;
}

void
SetInfeasible(CellState& aState, const ReadyKey& aKey, bool aInfeasible, Effects& aOut)
{
  auto& job = aState.mJobs.at(aKey.mJob);
  auto& row = job.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  row.mInfeasible = aInfeasible;
  const auto& step = StepOf(job, aKey.mStep);
  Log(aOut,
      aInfeasible ? "step.infeasible" : "step.feasible",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("tasks=",
                   step.Count(),
                   " gang=",
                   step.Gang(),
                   " cpu=",
                   step.Demand().CpuMillis(),
                   " memory=",
                   step.Demand().MemoryMb(),
                   " label=",
                   step.RequiredLabel()));
  RefreshStep(aState, job, aKey.mOccurrence, aKey.mStep);
}

bool
IsFeasible(const CellState& aState, const ReadyKey& aKey)
{
  const auto& job = aState.mJobs.at(aKey.mJob);
  return IsFeasible(aState, PolicyOf(aState, job).Pool(), StepOf(job, aKey.mStep));
}

} // namespace

bool
MarkIfInfeasible(CellState& aState, const ReadyKey& aKey, Effects& aOut)
{
  if (!aState.mRegistryRead || IsFeasible(aState, aKey)) {
    return false;
  }
  SetInfeasible(aState, aKey, true, aOut);
  return true;
}

void
UnmarkFeasibleSteps(CellState& aState, Effects& aOut)
{
  std::vector<ReadyKey> fitting;
  ReadyKey first;
  first.mInfeasible = true;
  for (auto it = aState.mReady.lower_bound(first);
       it != aState.mReady.end() && it->mExceededTeam.IsEmpty();
       ++it) {
    if (IsFeasible(aState, *it)) {
      fitting.push_back(*it);
    }
  }
  for (const auto& key : fitting) {
    SetInfeasible(aState, key, false, aOut);
  }
}

} // namespace by::detail
