#include "by_intents/FindIntent.h"

#include <algorithm>

namespace by {

const FoldedIntent*
FindIntent(const IntentTable& aTable, const IntentId& aIntent)
{
  const auto it = aTable.mIntents.find(aIntent);
  return it == aTable.mIntents.end() ? nullptr : &it->second;
}

IntentStatus
StatusOf(const FoldedIntent& aIntent, bool aWithTasks)
{
  const auto& progress = aIntent.mProgress;
  return IntentStatus::Create(
           { .mIntent = aIntent.mPlan.Intent(),
             .mSpec = aIntent.mPlan.Spec(),
             .mConfirmed = progress.Confirmed(),
             .mState = progress.State(),
             .mDetail = progress.Detail(),
             .mTasks = aWithTasks ? aIntent.mTasks : std::vector<IntentTaskStatus>{},
             .mRunning = aIntent.mRunning,
             .mSucceeded = aIntent.mSucceeded })
    .value();
}

std::vector<IntentStatus>
ListIntentStatuses(const IntentTable& aTable, const TeamId& aTeam)
{
  std::vector<IntentStatus> found;
  for (const auto& [id, intent] : aTable.mIntents) {
    if (aTeam.IsEmpty() || intent.mPlan.Spec().Team() == aTeam) {
      found.push_back(StatusOf(intent, false));
    }
  }
  std::sort(found.begin(), found.end(), [](const IntentStatus& aLeft, const IntentStatus& aRight) {
    return aLeft.Intent() < aRight.Intent();
  });
  return found;
}

} // namespace by
