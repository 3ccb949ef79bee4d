#include "by_intents/detail/FoldPlans.h"

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/FoldGangs.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

void
RemovePlanEntry(IntentTable& aTable, const FoldedIntent& aIntent)
{
  const auto key = std::pair(aIntent.mPlan.Expires() + kPlanRetention, aIntent.mPlan.Intent());
  if (aTable.mPlans.erase(key) > 0) {
    --aTable.mTeams[aIntent.mPlan.Spec().Team()].mPlans;
  }
}

std::vector<IntentTaskStatus>
NewTasks(std::int64_t aCount, Time aAt)
{
  std::vector<IntentTaskStatus> tasks;
  tasks.reserve(static_cast<std::size_t>(aCount));
  for (std::int64_t n = 0; n < aCount; ++n) {
    tasks.push_back(
      IntentTaskStatus::Create({ .mIndex = n, .mState = TaskState::NotStarted, .mSince = aAt })
        .value());
  }
  return tasks;
}

} // namespace

bool
FoldPlan(IntentTable& aTable, const Plan& aPlan, Time aAt)
{
  const auto& team = aPlan.Spec().Team();
  const bool valid = !aPlan.Intent().IsEmpty() && aPlan.Feasible() && aPlan.Expires() >= aAt &&
                     !aTable.mIntents.contains(aPlan.Intent());
  if (!valid || aTable.mTeams[team].mPlans >= kMaxPlansPerTeam) {
    return false;
  }
  FoldedIntent intent;
  intent.mPlan = aPlan;
  intent.mProgress = IntentProgress().WithSince(aAt);
  aTable.mIntents.emplace(aPlan.Intent(), std::move(intent));
  aTable.mPlans.emplace(aPlan.Expires() + kPlanRetention, aPlan.Intent());
  ++aTable.mTeams[team].mPlans;
  return true;
}

bool
FoldConfirm(IntentTable& aTable, const IntentConfirm& aConfirm, Time aAt)
{
  const auto it = aTable.mIntents.find(aConfirm.Intent());
  if (it == aTable.mIntents.end()) {
    return false;
  }
  auto& intent = it->second;
  const auto& plan = intent.mPlan;
  auto& team = aTable.mTeams[plan.Spec().Team()];
  const bool isPending = !intent.mProgress.Confirmed() && !HasEnded(intent);
  if (!isPending || aConfirm.Team() != plan.Spec().Team() || plan.Expires() < aAt ||
      plan.BaseVersion() != team.mVersion) {
    return false;
  }
  ++team.mVersion;
  RemovePlanEntry(aTable, intent);
  intent.mProgress = intent.mProgress.WithConfirmed(true).WithSince(aAt);
  intent.mTasks = NewTasks(plan.Spec().Tasks(), aAt);
  IndexIntent(aTable, intent);
  return true;
}

bool
FoldCancel(IntentTable& aTable, const IntentCancel& aCancel, Time aAt)
{
  const auto it = aTable.mIntents.find(aCancel.Intent());
  if (it == aTable.mIntents.end() || aCancel.Team() != it->second.mPlan.Spec().Team()) {
    return false;
  }
  auto& intent = it->second;
  const auto& progress = intent.mProgress;
  if (HasEnded(intent) || progress.State() == IntentState::Cancelling) {
    return false;
  }
  if (!progress.Confirmed()) {
    RemovePlanEntry(aTable, intent);
    ReplaceProgress(aTable, intent, progress.WithState(IntentState::Cancelled).WithSince(aAt));
    return true;
  }
  ++aTable.mTeams[aCancel.Team()].mVersion;
  if (IsRoundOpen(intent)) {
    AbandonRound(aTable, intent, aAt);
  }
  ReplaceProgress(
    aTable, intent, intent.mProgress.WithState(IntentState::Cancelling).WithSince(aAt));
  UpdateState(aTable, intent, aAt);
  return true;
}

bool
PruneExpired(IntentTable& aTable, Time aAt)
{
  bool changed = false;
  while (!aTable.mPlans.empty() && aTable.mPlans.begin()->first < aAt) {
    const auto intent = aTable.mIntents.find(aTable.mPlans.begin()->second);
    RemovePlanEntry(aTable, intent->second);
    aTable.mIntents.erase(intent);
    changed = true;
  }
  while (!aTable.mEnded.empty() && (aTable.mEnded.begin()->first + kEndedIntentRetention < aAt ||
                                    aTable.mEnded.size() > kMaxEndedIntents)) {
    aTable.mIntents.erase(aTable.mEnded.begin()->second);
    aTable.mEnded.erase(aTable.mEnded.begin());
    changed = true;
  }
  return changed;
}

} // namespace by::detail
