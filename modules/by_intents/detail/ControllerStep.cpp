#include "by_intents/detail/ControllerStep.h"

#include <algorithm>
#include <utility>

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/FoldAssignments.h"
#include "by_intents/detail/ResourceArithmetic.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

bool
IsProposalPending(const ControllerStep& aStep, const FoldedIntent& aIntent)
{
  const auto it = aStep.mController.mProposals.find(aIntent.mPlan.Intent());
  if (it == aStep.mController.mProposals.end()) {
    return false;
  }
  const auto& proposal = it->second;
  if (proposal.mAt + kProposalTimeout <= aStep.mNow) {
    return false;
  }
  return proposal.mDecidedRound > 0
           ? IsRoundOpen(aIntent) && proposal.mDecidedRound == aIntent.mProgress.Round()
           : proposal.mAssignmentRecords == aIntent.mAssignmentRecords;
}

void
RecordProposal(ControllerStep& aStep, const FoldedIntent& aIntent, std::uint64_t aDecidedRound)
{
  aStep.mController.mProposals[aIntent.mPlan.Intent()] = {
    .mAt = aStep.mNow,
    .mAssignmentRecords = aIntent.mAssignmentRecords,
    .mDecidedRound = aDecidedRound,
  };
}

/// Decides an open round. The gang starts once all tasks are reserved; the round is abandoned once
/// a task was released or the reservations have timed out.
void
DecideRound(ControllerStep& aStep, const FoldedIntent& aIntent)
{
  const auto tasks = static_cast<std::int64_t>(aIntent.mTasks.size());
  const bool start = aIntent.mReserved == tasks;
  const bool overdue = aIntent.mProgress.RoundSince() + kGangReservationTimeout <= aStep.mNow;
  if (!start && !overdue && aIntent.mLive == tasks) {
    return;
  }
  aStep.mDecisions.push_back(
    GangDecision::Create(
      { .mIntent = aIntent.mPlan.Intent(), .mRound = aIntent.mProgress.Round(), .mStart = start })
      .value());
  RecordProposal(aStep, aIntent, aIntent.mProgress.Round());
}

/// @returns how many more tasks of the intent fit into the team's quota, at most aMaxTasks.
std::int64_t
TasksWithinQuota(const ControllerStep& aStep, const IntentSpec& aSpec, std::int64_t aMaxTasks)
{
  const auto quota = QuotaOf(aStep.mContext.mConfig, aSpec.Team());
  const auto usage = aStep.mTable.mTeams.find(aSpec.Team());
  const auto assigned = aStep.mAssignedByTeam.find(aSpec.Team());
  auto committed = usage == aStep.mTable.mTeams.end() ? Resources() : usage->second.mCommitted;
  if (assigned != aStep.mAssignedByTeam.end()) {
    committed = Add(committed, assigned->second);
  }
  std::int64_t low = 0;
  std::int64_t high = aMaxTasks;
  while (low < high) {
    const auto middle = (low + high + 1) / 2;
    if (WithinQuota(Add(committed, Multiply(aSpec.Resources(), middle)), quota)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

/// @returns the tasks that may be assigned now, at most aMaxTasks.
std::vector<std::int64_t>
DueTasks(const FoldedIntent& aIntent, std::int64_t aMaxTasks, Time aNow)
{
  std::vector<std::int64_t> due;
  for (const auto& [time, index] : aIntent.mUnassigned) {
    if (time > aNow || static_cast<std::int64_t>(due.size()) >= aMaxTasks) {
      break;
    }
    due.push_back(index);
  }
  return due;
}

/// Allocates racks for tasks as far as capacity allows.
std::vector<TaskAssignment>
FindRacks(const ControllerStep& aStep,
          const FoldedIntent& aIntent,
          const std::vector<std::int64_t>& aTasks)
{
  auto racks = CandidateRacksFor(aStep.mFreeCapacity, aStep.mController.mRackCapacities, aIntent);
  std::vector<TaskAssignment> found;
  for (const auto index : aTasks) {
    const auto& task = aIntent.mTasks[static_cast<std::size_t>(index)];
    auto rack = AllocateRack(racks, task.Rack());
    if (!rack) {
      break;
    }
    found.push_back(TaskAssignment::Create({ .mIntent = aIntent.mPlan.Intent(),
                                             .mIndex = index,
                                             .mGeneration = task.Generation() + 1,
                                             .mRack = std::move(*rack) })
                      .value());
  }
  return found;
}

/// Adds assignments to the last record, or to a new one if the last would exceed its limit.
void
AddAssignments(ControllerStep& aStep,
               const FoldedIntent& aIntent,
               std::vector<TaskAssignment> aAssignments)
{
  const auto& spec = aIntent.mPlan.Spec();
  for (const auto& assignment : aAssignments) {
    auto& freeCapacity = aStep.mFreeCapacity.at(assignment.Rack());
    freeCapacity = Subtract(freeCapacity, spec.Resources());
  }
  auto& assigned = aStep.mAssignedByTeam[spec.Team()];
  assigned =
    Add(assigned, Multiply(spec.Resources(), static_cast<std::int64_t>(aAssignments.size())));
  auto& records = aStep.mAssignments;
  if (records.empty() || records.back().size() + aAssignments.size() > kMaxAssignmentsPerRecord) {
    records.emplace_back();
  }
  std::move(aAssignments.begin(), aAssignments.end(), std::back_inserter(records.back()));
  RecordProposal(aStep, aIntent, 0);
}

bool
IsKnownUnplaceable(const ControllerStep& aStep, const Resources& aTask)
{
  return std::any_of(aStep.mUnplaceable.begin(),
                     aStep.mUnplaceable.end(),
                     [&](const Resources& aSize) { return FitsWithin(aSize, aTask); });
}

/// Assigns tasks that are due: all tasks of a gang or none, and as many tasks of other intents as
/// there is capacity for.
void
AssignTasks(ControllerStep& aStep, const FoldedIntent& aIntent)
{
  const auto& spec = aIntent.mPlan.Spec();
  const bool isGang = IsGang(aIntent);
  const auto maxTasks =
    isGang
      ? spec.Tasks()
      : std::min<std::int64_t>(spec.Tasks(), static_cast<std::int64_t>(kMaxAssignmentsPerRecord));
  if (IsKnownUnplaceable(aStep, spec.Resources())) {
    return;
  }
  const auto due = DueTasks(aIntent, TasksWithinQuota(aStep, spec, maxTasks), aStep.mNow);
  if (due.empty() || (isGang && static_cast<std::int64_t>(due.size()) < maxTasks)) {
    return;
  }
  auto found = FindRacks(aStep, aIntent, due);
  if (found.empty()) {
    aStep.mUnplaceable.push_back(spec.Resources());
    return;
  }
  if (!isGang || found.size() == due.size()) {
    AddAssignments(aStep, aIntent, std::move(found));
  }
}

} // namespace

void
AdvanceIntent(ControllerStep& aStep, const FoldedIntent& aIntent)
{
  if (IsProposalPending(aStep, aIntent)) {
    return;
  }
  if (IsRoundOpen(aIntent)) {
    DecideRound(aStep, aIntent);
  } else if (!IsGang(aIntent) || aIntent.mLive == 0) {
    AssignTasks(aStep, aIntent);
  }
}

} // namespace by::detail
