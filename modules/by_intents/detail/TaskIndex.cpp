#include "by_intents/detail/TaskIndex.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/ResourceArithmetic.h"
#include "by_intents/detail/StableHash.h"

namespace by::detail {

namespace {

constexpr std::int64_t kMaxDoublings = 16;

bool
AcceptsAssignments(const IntentProgress& aProgress)
{
  return aProgress.Confirmed() &&
         (aProgress.State() == IntentState::Starting || aProgress.State() == IntentState::Running);
}

bool
NeedsAssignment(const FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  if (aTask.Assigned() || !AcceptsAssignments(aIntent.mProgress)) {
    return false;
  }
  return aTask.State() != TaskState::Succeeded || IsService(aIntent);
}

/// @returns the part of an intent's progress that determines the index entries of its tasks.
auto
IndexedPart(const IntentProgress& aProgress)
{
  return std::tuple(AcceptsAssignments(aProgress),
                    aProgress.State() == IntentState::Cancelling,
                    aProgress.State() == IntentState::Failed,
                    aProgress.GangBroken());
}

TaskKey
KeyOf(const FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  return { .mIntent = aIntent.mPlan.Intent(), .mIndex = aTask.Index() };
}

void
AddLiveTask(IntentTable& aTable, FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  const auto& spec = aIntent.mPlan.Spec();
  const bool running = aTask.State() == TaskState::Running;
  ++aIntent.mLive;
  aIntent.mReserved += aTask.Reserved() ? 1 : 0;
  aIntent.mRunning += running ? 1 : 0;
  ++aIntent.mLiveByRack[aTask.Rack()];
  auto& team = aTable.mTeams[spec.Team()];
  team.mCommitted = Add(team.mCommitted, spec.Resources());
  auto& rack = aTable.mRacks[aTask.Rack()];
  rack.mCommitted = Add(rack.mCommitted, spec.Resources());
  const bool keepsRunning = running && !MustStop(aIntent, aTask);
  (keepsRunning ? rack.mRunning : rack.mPending).insert(KeyOf(aIntent, aTask));
}

void
RemoveLiveTask(IntentTable& aTable, FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  const auto& spec = aIntent.mPlan.Spec();
  --aIntent.mLive;
  aIntent.mReserved -= aTask.Reserved() ? 1 : 0;
  aIntent.mRunning -= aTask.State() == TaskState::Running ? 1 : 0;
  if (--aIntent.mLiveByRack[aTask.Rack()] == 0) {
    aIntent.mLiveByRack.erase(aTask.Rack());
  }
  auto& team = aTable.mTeams[spec.Team()];
  team.mCommitted = Subtract(team.mCommitted, spec.Resources());
  const auto rack = aTable.mRacks.find(aTask.Rack());
  rack->second.mCommitted = Subtract(rack->second.mCommitted, spec.Resources());
  rack->second.mRunning.erase(KeyOf(aIntent, aTask));
  rack->second.mPending.erase(KeyOf(aIntent, aTask));
  if (rack->second.mRunning.empty() && rack->second.mPending.empty()) {
    aTable.mRacks.erase(rack);
  }
}

void
AddTask(IntentTable& aTable, FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  if (aTask.Assigned()) {
    AddLiveTask(aTable, aIntent, aTask);
  } else if (aTask.State() == TaskState::Succeeded) {
    ++aIntent.mSucceeded;
  }
  if (NeedsAssignment(aIntent, aTask)) {
    aIntent.mUnassigned.emplace(DueTime(aIntent, aTask), aTask.Index());
  }
}

void
RemoveTask(IntentTable& aTable, FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  if (aTask.Assigned()) {
    RemoveLiveTask(aTable, aIntent, aTask);
  } else if (aTask.State() == TaskState::Succeeded) {
    --aIntent.mSucceeded;
  }
  aIntent.mUnassigned.erase({ DueTime(aIntent, aTask), aTask.Index() });
}

/// Removes the payload of an ended intent, which is kept only to be shown.
void
RemovePayload(FoldedIntent& aIntent)
{
  auto spec = aIntent.mPlan.Spec().ToFields();
  spec.mPayload.clear();
  aIntent.mPlan = aIntent.mPlan.WithSpec(IntentSpec::Create(std::move(spec)).value());
}

/// Updates the sets of open and ended intents after a change.
void
UpdateSets(IntentTable& aTable, FoldedIntent& aIntent)
{
  const auto& id = aIntent.mPlan.Intent();
  const bool urgent = aIntent.mPlan.Spec().Priority() == Priority::Urgent;
  auto& open = urgent ? aTable.mOpenUrgent : aTable.mOpen;
  if (!aIntent.mUnassigned.empty() || IsRoundOpen(aIntent)) {
    open.insert(id);
  } else {
    open.erase(id);
  }
  if (HasEnded(aIntent) && aIntent.mLive == 0) {
    if (aTable.mEnded.emplace(aIntent.mProgress.Since(), id).second) {
      RemovePayload(aIntent);
    }
  }
}

} // namespace

bool
IsGang(const FoldedIntent& aIntent)
{
  return aIntent.mPlan.Spec().WorkClass() == WorkClass::Gang;
}

bool
IsService(const FoldedIntent& aIntent)
{
  return aIntent.mPlan.Spec().WorkClass() == WorkClass::Service;
}

bool
HasEnded(const FoldedIntent& aIntent)
{
  const auto state = aIntent.mProgress.State();
  return state == IntentState::Succeeded || state == IntentState::Failed ||
         state == IntentState::Cancelled;
}

bool
IsRoundOpen(const FoldedIntent& aIntent)
{
  return IsGang(aIntent) && AcceptsAssignments(aIntent.mProgress) && aIntent.mLive > 0 &&
         !aIntent.mProgress.GangStarted();
}

bool
MustStop(const FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  const auto& progress = aIntent.mProgress;
  if (progress.State() == IntentState::Cancelling || progress.GangBroken()) {
    return true;
  }
  if (progress.State() != IntentState::Failed) {
    return false;
  }
  // A run that can't be repeated may finish.
  const bool mayFinish =
    aTask.State() == TaskState::Running && !IsGang(aIntent) && !aIntent.mPlan.Spec().Idempotent();
  return !mayFinish;
}

Time
DueTime(const FoldedIntent& aIntent, const IntentTaskStatus& aTask)
{
  const auto doublings = aTask.Failures() + aTask.Releases();
  if (doublings == 0) {
    return aTask.Since();
  }
  const auto factor = std::int64_t{ 1 } << std::min(doublings - 1, kMaxDoublings);
  const auto limit = aTask.Failures() == 0 ? kMaxReleaseBackoff : kMaxRetryBackoff;
  auto wait = std::min(kInitialRetryBackoff * factor, limit);
  if (IsGang(aIntent)) {
    // Gangs that competed for the same capacity retry at different times.
    const auto spread =
      StableHash(aIntent.mPlan.Intent().Text()) % static_cast<std::uint64_t>(wait.Milliseconds());
    wait = wait + Time::FromMilliseconds(static_cast<std::int64_t>(spread));
  }
  return aTask.Since() + wait;
}

void
ReplaceTask(IntentTable& aTable, FoldedIntent& aIntent, IntentTaskStatus aTask)
{
  auto& row = aIntent.mTasks[static_cast<std::size_t>(aTask.Index())];
  RemoveTask(aTable, aIntent, row);
  row = std::move(aTask);
  AddTask(aTable, aIntent, row);
  UpdateSets(aTable, aIntent);
}

void
ReplaceProgress(IntentTable& aTable, FoldedIntent& aIntent, IntentProgress aProgress)
{
  if (IndexedPart(aIntent.mProgress) == IndexedPart(aProgress)) {
    aIntent.mProgress = std::move(aProgress);
    UpdateSets(aTable, aIntent);
    return;
  }
  for (const auto& task : aIntent.mTasks) {
    RemoveTask(aTable, aIntent, task);
  }
  aIntent.mProgress = std::move(aProgress);
  IndexIntent(aTable, aIntent);
}

void
IndexIntent(IntentTable& aTable, FoldedIntent& aIntent)
{
  for (const auto& task : aIntent.mTasks) {
    AddTask(aTable, aIntent, task);
  }
  UpdateSets(aTable, aIntent);
}

void
UpdateState(IntentTable& aTable, FoldedIntent& aIntent, Time aAt)
{
  const auto& progress = aIntent.mProgress;
  const auto tasks = static_cast<std::int64_t>(aIntent.mTasks.size());
  auto state = progress.State();
  if (state == IntentState::Cancelling) {
    state = aIntent.mLive == 0 ? IntentState::Cancelled : state;
  } else if (AcceptsAssignments(progress)) {
    const auto completed = IsService(aIntent) ? 0 : aIntent.mSucceeded;
    if (completed == tasks) {
      state = IntentState::Succeeded;
    } else if (aIntent.mRunning + completed == tasks) {
      state = IntentState::Running;
    } else {
      state = IntentState::Starting;
    }
  }
  if (state != progress.State()) {
    ReplaceProgress(aTable, aIntent, progress.WithState(state).WithSince(aAt));
  }
}

} // namespace by::detail
