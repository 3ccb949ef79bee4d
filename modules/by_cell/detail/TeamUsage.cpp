#include "by_cell/detail/TeamUsage.h"

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Tables.h"
#include "by_placement/ResourceMath.h"
#include "by_sharing/by_sharing.h"

namespace by::detail {

namespace {

std::uint32_t
TasksToStart(const JobStep& aStep)
{
  return aStep.Gang() ? aStep.Count() : 1;
}

} // namespace

bool
HasTeams(const CellState& aState)
{
  return !aState.mConfig.Teams().empty();
}

void
ApplyTeamPolicies(CellState& aState)
{
  SetTeamPolicies(aState.mTeams, aState.mConfig.Teams());
}

void
ChargeRun(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, RunRow& aRow)
{
  const auto* job = FindJob(aState, aRun.mTask.Job());
  const auto ended = aState.mOutcomes.find(aRun.mTask.Job());
  aRow.mPool = job != nullptr ? PolicyOf(aState, *job).Pool() : aWorker.mRegistration.Pool();
  if (job != nullptr) {
    aRow.mTeam = job->mTeam;
  } else if (ended != aState.mOutcomes.end()) {
    aRow.mTeam = ended->second.mTeam;
  }
  // A task that uses only idle processor time is charged with its declared amount too, since the
  // quota limits what the tasks of a team declare.
  const bool isStepKnown =
    job != nullptr && aRun.mTask.Step() < job->mJob.Definition().Steps().size();
  aRow.mCharge = ChargeOf(aRow.mIsDemandUnknown ? FreeCapacity(aWorker)
                          : isStepKnown         ? StepOf(*job, aRun.mTask.Step()).Demand()
                                                : aRow.mDemand);
  AddUsage(aState.mTeams, aRow.mTeam, WorkClass::Batch, aRow.mCharge);
  auto& used = aState.mPoolUsage[{ aRow.mPool, aRow.mTeam }];
  used = Plus(used, aRow.mCharge);
}

void
ReleaseRun(CellState& aState, const RunRow& aRow)
{
  SubtractUsage(aState.mTeams, aRow.mTeam, WorkClass::Batch, aRow.mCharge);
  const auto used = aState.mPoolUsage.find({ aRow.mPool, aRow.mTeam });
  if (used == aState.mPoolUsage.end()) {
    return;
  }
  used->second = Minus(used->second, aRow.mCharge);
  if (used->second == Resources()) {
    aState.mPoolUsage.erase(used);
  }
}

bool
IsAboveQuota(const CellState& aState, const TeamId& aTeam)
{
  const auto* row = aTeam.IsEmpty() ? nullptr : FindTeam(aState.mTeams, aTeam);
  return row != nullptr && by::IsAboveQuota(*row);
}

std::uint32_t
CountWithinQuota(const CellState& aState, const JobRow& aJob, const JobStep& aStep)
{
  const auto* row = aJob.mTeam.IsEmpty() ? nullptr : FindTeam(aState.mTeams, aJob.mTeam);
  return row == nullptr ? aStep.Count()
                        : by::CountWithinQuota(*row, ChargeOf(aStep.Demand()), aStep.Count());
}

bool
QuotaAllowsStart(const CellState& aState, const JobRow& aJob, const JobStep& aStep)
{
  return CountWithinQuota(aState, aJob, aStep) >= TasksToStart(aStep);
}

bool
ExceedsQuota(const CellState& aState, const TeamId& aTeam, const JobStep& aStep)
{
  const auto* row = aTeam.IsEmpty() ? nullptr : FindTeam(aState.mTeams, aTeam);
  return row != nullptr && !QuotaCanHold(*row, aStep.Demand(), TasksToStart(aStep));
}

std::string
FormatUsage(const CellState& aState, const TeamId& aTeam)
{
  const auto* row = FindTeam(aState.mTeams, aTeam);
  if (row == nullptr) {
    return "";
  }
  const auto used = AmountsOf(row->Used());
  const auto quota = AmountsOf(row->Allotment());
  std::string text;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (used[i] != 0 || quota[i] != kUnlimitedAmount) {
      absl::StrAppend(&text,
                      text.empty() ? "" : " ",
                      kResourceNames[i],
                      "=",
                      used[i],
                      "/",
                      quota[i] == kUnlimitedAmount ? -1 : quota[i]);
    }
  }
  return text;
}

} // namespace by::detail
