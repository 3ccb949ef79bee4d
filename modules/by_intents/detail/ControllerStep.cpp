#include "by_intents/detail/ControllerStep.h"

#include <algorithm>
#include <utility>

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/FoldAssignments.h"
#include "by_intents/detail/ResourceSums.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

bool
IsUnderWay(const ControllerStep& aStep, const FoldedIntent& aIntent)
{
  const auto it = aStep.mController.mProposals.find(aIntent.mPlan.Intent());
  if (it == aStep.mController.mProposals.end()) {
    return false;
  }
  const auto& proposal = it->second;
  if (proposal.mAt + kProposalBound <= aStep.mNow) {
    return false;
  }
  return proposal.mDecidedRound > 0
           ? IsRoundOpen(aIntent) && proposal.mDecidedRound == aIntent.mProgress.Round()
           : proposal.mAssignmentRecords == aIntent.mAssignmentRecords;
}

void
Remember(ControllerStep& aStep, const FoldedIntent& aIntent, std::uint64_t aDecidedRound)
{
  aStep.mController.mProposals[aIntent.mPlan.Intent()] = {
    .mAt = aStep.mNow,
    .mAssignmentRecords = aIntent.mAssignmentRecords,
    .mDecidedRound = aDecidedRound,
  };
}

/// Decides an open round: start once all is reserved; give up once one task was released or the
/// hold is over.
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
  Remember(aStep, aIntent, aIntent.mProgress.Round());
}

/// @returns how many more tasks the team's quota lets the intent have, bounded by its tasks.
std::int64_t
LeftOfQuota(const ControllerStep& aStep, const IntentSpec& aSpec, std::int64_t aWanted)
{
  const auto quota = QuotaOf(aStep.mContext.mConfig, aSpec.Team());
  const auto use = aStep.mTable.mTeams.find(aSpec.Team());
  const auto given = aStep.mGiven.find(aSpec.Team());
  auto taken = use == aStep.mTable.mTeams.end() ? Resources() : use->second.mCommitted;
  if (given != aStep.mGiven.end()) {
    taken = Add(taken, given->second);
  }
  std::int64_t low = 0;
  std::int64_t high = aWanted;
  while (low < high) {
    const auto middle = (low + high + 1) / 2;
    if (WithinQuota(Add(taken, Times(aSpec.Resources(), middle)), quota)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

/// Tasks that may have an assignment now, at most as many as are wanted.
std::vector<std::int64_t>
DueTasks(const FoldedIntent& aIntent, std::int64_t aWanted, Time aNow)
{
  std::vector<std::int64_t> due;
  for (const auto& [time, index] : aIntent.mIdle) {
    if (time > aNow || static_cast<std::int64_t>(due.size()) >= aWanted) {
      break;
    }
    due.push_back(index);
  }
  return due;
}

/// Finds racks for tasks, as far as there is room.
std::vector<TaskAssignment>
FindRacks(const ControllerStep& aStep,
          const FoldedIntent& aIntent,
          const std::vector<std::int64_t>& aTasks)
{
  auto racks = RacksFor(aStep.mLeft, aStep.mController.mRoom, aIntent);
  std::vector<TaskAssignment> found;
  for (const auto index : aTasks) {
    const auto& task = aIntent.mTasks[static_cast<std::size_t>(index)];
    auto rack = TakeRack(racks, task.Rack());
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

/// Puts assignments into a record: a new one where they would overfill the last.
void
Give(ControllerStep& aStep, const FoldedIntent& aIntent, std::vector<TaskAssignment> aAssignments)
{
  const auto& spec = aIntent.mPlan.Spec();
  for (const auto& assignment : aAssignments) {
    auto& left = aStep.mLeft.at(assignment.Rack());
    left = Subtract(left, spec.Resources());
  }
  auto& given = aStep.mGiven[spec.Team()];
  given = Add(given, Times(spec.Resources(), static_cast<std::int64_t>(aAssignments.size())));
  auto& records = aStep.mAssignments;
  if (records.empty() || records.back().size() + aAssignments.size() > kAssignmentsPerRecord) {
    records.emplace_back();
  }
  std::move(aAssignments.begin(), aAssignments.end(), std::back_inserter(records.back()));
  Remember(aStep, aIntent, 0);
}

bool
IsKnownToLackRoom(const ControllerStep& aStep, const Resources& aTask)
{
  return std::any_of(aStep.mNoRoom.begin(), aStep.mNoRoom.end(), [&](const Resources& aSize) {
    return Within(aSize, aTask);
  });
}

/// Assigns tasks that are due: all of a gang or none, of other intents as many as there is room
/// for.
void
AssignTasks(ControllerStep& aStep, const FoldedIntent& aIntent)
{
  const auto& spec = aIntent.mPlan.Spec();
  const bool whole = IsGang(aIntent);
  const auto wanted =
    whole ? spec.Tasks()
          : std::min<std::int64_t>(spec.Tasks(), static_cast<std::int64_t>(kAssignmentsPerRecord));
  if (IsKnownToLackRoom(aStep, spec.Resources())) {
    return;
  }
  const auto due = DueTasks(aIntent, LeftOfQuota(aStep, spec, wanted), aStep.mNow);
  if (due.empty() || (whole && static_cast<std::int64_t>(due.size()) < wanted)) {
    return;
  }
  auto found = FindRacks(aStep, aIntent, due);
  if (found.empty()) {
    aStep.mNoRoom.push_back(spec.Resources());
    return;
  }
  if (!whole || found.size() == due.size()) {
    Give(aStep, aIntent, std::move(found));
  }
}

} // namespace

void
ConsiderIntent(ControllerStep& aStep, const FoldedIntent& aIntent)
{
  if (IsUnderWay(aStep, aIntent)) {
    return;
  }
  if (IsRoundOpen(aIntent)) {
    DecideRound(aStep, aIntent);
  } else if (!IsGang(aIntent) || aIntent.mLive == 0) {
    AssignTasks(aStep, aIntent);
  }
}

} // namespace by::detail
