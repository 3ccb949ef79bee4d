#include "by_intents/detail/FoldGangs.h"

#include <cstddef>

#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

void
AbandonRound(IntentTable& aTable, FoldedIntent& aIntent, Time aAt)
{
  for (std::size_t n = 0; n < aIntent.mTasks.size(); ++n) {
    if (!aIntent.mTasks[n].Assigned()) {
      continue;
    }
    auto fields = aIntent.mTasks[n].ToFields();
    fields.mAssigned = false;
    fields.mReserved = false;
    fields.mState = TaskState::NotStarted;
    fields.mReleases += 1;
    fields.mSince = aAt;
    ReplaceTask(aTable, aIntent, IntentTaskStatus::Create(std::move(fields)).value());
  }
}

void
ResetBrokenGang(IntentTable& aTable, FoldedIntent& aIntent, Time aAt)
{
  const auto state = aIntent.mProgress.State();
  const bool isActive = state == IntentState::Starting || state == IntentState::Running;
  if (!isActive || !aIntent.mProgress.GangBroken() || aIntent.mLive > 0) {
    return;
  }
  ReplaceProgress(aTable, aIntent, aIntent.mProgress.WithGangBroken(false).WithGangStarted(false));
  for (std::size_t n = 0; n < aIntent.mTasks.size(); ++n) {
    if (aIntent.mTasks[n].State() == TaskState::Succeeded) {
      ReplaceTask(
        aTable, aIntent, aIntent.mTasks[n].WithState(TaskState::NotStarted).WithSince(aAt));
    }
  }
}

bool
FoldGangDecision(IntentTable& aTable, const GangDecision& aDecision, Time aAt)
{
  const auto it = aTable.mIntents.find(aDecision.Intent());
  if (it == aTable.mIntents.end()) {
    return false;
  }
  auto& intent = it->second;
  if (!IsRoundOpen(intent) || intent.mProgress.Round() != aDecision.Round()) {
    return false;
  }
  if (!aDecision.Start()) {
    AbandonRound(aTable, intent, aAt);
    return true;
  }
  if (intent.mReserved != static_cast<std::int64_t>(intent.mTasks.size())) {
    return false;
  }
  ReplaceProgress(aTable, intent, intent.mProgress.WithGangStarted(true));
  return true;
}

} // namespace by::detail
