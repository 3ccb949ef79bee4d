#include "by_intents/detail/FoldAssignments.h"

#include <cstddef>
#include <vector>

#include "absl/container/btree_map.h"

#include "by_intents/detail/ResourceArithmetic.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

using AssignmentList = std::vector<const TaskAssignment*>;

bool
IsNextGeneration(const FoldedIntent& aIntent, const TaskAssignment& aAssignment)
{
  const auto index = aAssignment.Index();
  if (index < 0 || index >= static_cast<std::int64_t>(aIntent.mTasks.size())) {
    return false;
  }
  const auto& task = aIntent.mTasks[static_cast<std::size_t>(index)];
  return !aAssignment.Rack().IsEmpty() && aAssignment.Generation() == task.Generation() + 1 &&
         aIntent.mUnassigned.contains({ DueTime(aIntent, task), index });
}

bool
FitsQuota(const IntentTable& aTable,
          const FoldedIntent& aIntent,
          std::int64_t aTasks,
          const ConfigDocument* aConfig)
{
  const auto& spec = aIntent.mPlan.Spec();
  const auto team = aTable.mTeams.find(spec.Team());
  const auto committed = team == aTable.mTeams.end() ? Resources() : team->second.mCommitted;
  return WithinQuota(Add(committed, Multiply(spec.Resources(), aTasks)),
                     QuotaOf(aConfig, spec.Team()));
}

void
Assign(IntentTable& aTable, FoldedIntent& aIntent, const TaskAssignment& aAssignment, Time aAt)
{
  auto fields = aIntent.mTasks[static_cast<std::size_t>(aAssignment.Index())].ToFields();
  fields.mGeneration = aAssignment.Generation();
  fields.mAssigned = true;
  fields.mReserved = false;
  fields.mState = TaskState::NotStarted;
  fields.mRack = aAssignment.Rack();
  fields.mVm = VmId();
  fields.mSince = aAt;
  ReplaceTask(aTable, aIntent, IntentTaskStatus::Create(std::move(fields)).value());
}

/// @returns whether the list assigns each task of a gang once, all with the generation of the next
/// round.
bool
IsWholeRound(const FoldedIntent& aIntent, const AssignmentList& aList)
{
  const auto tasks = aIntent.mTasks.size();
  if (aList.size() != tasks) {
    return false;
  }
  std::vector<bool> seen(tasks, false);
  for (const auto* assignment : aList) {
    if (!IsNextGeneration(aIntent, *assignment) ||
        assignment->Generation() != aIntent.mProgress.Round() + 1 ||
        seen[static_cast<std::size_t>(assignment->Index())]) {
      return false;
    }
    seen[static_cast<std::size_t>(assignment->Index())] = true;
  }
  return true;
}

bool
AssignGang(IntentTable& aTable,
           FoldedIntent& aIntent,
           const AssignmentList& aList,
           const ConfigDocument* aConfig,
           Time aAt)
{
  if (!IsWholeRound(aIntent, aList) ||
      !FitsQuota(aTable, aIntent, static_cast<std::int64_t>(aList.size()), aConfig)) {
    return false;
  }
  const auto& progress = aIntent.mProgress;
  ReplaceProgress(
    aTable,
    aIntent,
    progress.WithRound(progress.Round() + 1).WithGangStarted(false).WithRoundSince(aAt));
  for (const auto* assignment : aList) {
    Assign(aTable, aIntent, *assignment, aAt);
  }
  return true;
}

bool
AssignEach(IntentTable& aTable,
           FoldedIntent& aIntent,
           const AssignmentList& aList,
           const ConfigDocument* aConfig,
           Time aAt)
{
  bool changed = false;
  for (const auto* assignment : aList) {
    if (IsNextGeneration(aIntent, *assignment) && FitsQuota(aTable, aIntent, 1, aConfig)) {
      Assign(aTable, aIntent, *assignment, aAt);
      changed = true;
    }
  }
  return changed;
}

} // namespace

Resources
QuotaOf(const ConfigDocument* aConfig, const TeamId& aTeam)
{
  if (aConfig != nullptr) {
    for (const auto& team : aConfig->Teams()) {
      if (team.Team() == aTeam) {
        return team.Quota();
      }
    }
  }
  return {};
}

bool
FoldAssignments(IntentTable& aTable,
                const TaskAssignments& aAssignments,
                const ConfigDocument* aConfig,
                Time aAt)
{
  absl::btree_map<IntentId, AssignmentList> byIntent;
  for (const auto& assignment : aAssignments.Assignments()) {
    byIntent[assignment.Intent()].push_back(&assignment);
  }
  bool changed = false;
  for (const auto& [id, list] : byIntent) {
    const auto it = aTable.mIntents.find(id);
    if (it == aTable.mIntents.end()) {
      continue;
    }
    auto& intent = it->second;
    ++intent.mAssignmentRecords;
    changed |= IsGang(intent) ? AssignGang(aTable, intent, list, aConfig, aAt)
                              : AssignEach(aTable, intent, list, aConfig, aAt);
  }
  return changed;
}

} // namespace by::detail
