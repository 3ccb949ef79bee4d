#include "by_intents/detail/OwnerStep.h"

#include <cstddef>
#include <string>
#include <utility>

#include "by_intents/FindIntent.h"
#include "by_intents/IntentLimits.h"
#include "by_intents/TaskNames.h"
#include "by_intents/detail/TaskIndex.h"
#include "by_intents/detail/TrackedTasks.h"

namespace by::detail {

namespace {

/// A task's intent and row in the state folded from the log; null if there is none.
struct Assignment
{
  const FoldedIntent* mIntent{ nullptr };
  const IntentTaskStatus* mRow{ nullptr };
};

Assignment
FindRow(const IntentTable& aTable, const TaskKey& aKey)
{
  const auto* intent = FindIntent(aTable, aKey.mIntent);
  const auto index = static_cast<std::size_t>(aKey.mIndex);
  if (intent == nullptr || aKey.mIndex < 0 || index >= intent->mTasks.size()) {
    return {};
  }
  return { intent, &intent->mTasks[index] };
}

Assignment
FindLive(const IntentTable& aTable, const TaskKey& aKey, const TrackedTask& aTask)
{
  const auto found = FindRow(aTable, aKey);
  const bool live = found.mRow != nullptr && found.mRow->Assigned() &&
                    found.mRow->Generation() == aTask.mGeneration &&
                    found.mRow->Rack() == aTask.mRack;
  return live ? found : Assignment{};
}

bool
IsDue(Time aLast, Time aInterval, Time aNow)
{
  return aLast == Time() || aLast + aInterval <= aNow;
}

/// @returns whether a start of the assigned task may have been sent.
bool
MayHaveStarted(const Assignment& aAssignment)
{
  const auto& row = *aAssignment.mRow;
  if (row.State() == TaskState::Running) {
    return true;
  }
  if (!row.Reserved()) {
    return false;
  }
  return IsGang(*aAssignment.mIntent) ? aAssignment.mIntent->mProgress.GangStarted() : true;
}

/// @returns whether a task with a reservation may start now. A task of a gang may start once the
/// log has started the gang; another task that is not idempotent may start once its reservation is
/// in the log.
bool
MayStart(const Assignment& aAssignment)
{
  if (IsGang(*aAssignment.mIntent)) {
    return aAssignment.mIntent->mProgress.GangStarted() && aAssignment.mRow->Reserved();
  }
  return aAssignment.mIntent->mPlan.Spec().Idempotent() || aAssignment.mRow->Reserved();
}

TrackedTask
NewTrackedTask(const OwnedRack& aRack, const IntentTaskStatus& aRow, Time aNow)
{
  TrackedTask task;
  task.mGeneration = aRow.Generation();
  task.mRack = aRack.mRack;
  task.mVm = aRow.Vm();
  task.mSince = aNow;
  return task;
}

WorkItem
OfferOf(const Assignment& aAssignment, const TaskKey& aKey, Time aNow)
{
  const auto& spec = aAssignment.mIntent->mPlan.Spec();
  const bool service = IsService(*aAssignment.mIntent);
  return WorkItem::Create({ .mTask = TaskIdOf(aKey),
                            .mTeam = spec.Team(),
                            .mKind = spec.Kind(),
                            .mWorkClass = spec.WorkClass(),
                            .mPriority = spec.Priority(),
                            .mResources = spec.Resources(),
                            .mArrived = aAssignment.mRow->Since(),
                            .mStartBy = aNow + kOfferTimeout,
                            .mDeclaredLength = spec.DeclaredLength(),
                            .mRack = aAssignment.mRow->Rack(),
                            .mSpreadGroup = service ? aKey.mIntent.Text() : std::string() })
    .value();
}

TaskStart
StartOf(const OwnerStep& aStep,
        const Assignment& aAssignment,
        const TaskKey& aKey,
        const TrackedTask& aTask)
{
  const auto& spec = aAssignment.mIntent->mPlan.Spec();
  return TaskStart::Create({ .mTask = TaskIdOf(aKey),
                             .mGeneration = aTask.mGeneration,
                             .mOwner = aStep.mContext.mSelf,
                             .mEpoch = aStep.mTasks.mOwned.at(aTask.mRack),
                             .mNotAfter = aTask.mNotAfter,
                             .mTeam = spec.Team(),
                             .mLabel = aKey.mIntent.Text(),
                             .mKind = spec.Kind(),
                             .mIdempotent = spec.Idempotent(),
                             .mWorkClass = spec.WorkClass(),
                             .mResources = spec.Resources(),
                             .mDeclaredLength = spec.DeclaredLength(),
                             .mPayload = spec.Payload() })
    .value();
}

/// Reports a task's state unless it was reported recently.
void
Report(OwnerStep& aStep, const TaskKey& aKey, TrackedTask& aTask, TaskState aState, bool aReserved)
{
  if (!IsDue(aTask.mReportedAt, kProposalTimeout, aStep.mNow)) {
    return;
  }
  aTask.mReportedAt = aStep.mNow;
  aStep.mReports[aTask.mRack].push_back(TaskReport::Create({ .mIntent = aKey.mIntent,
                                                             .mIndex = aKey.mIndex,
                                                             .mGeneration = aTask.mGeneration,
                                                             .mState = aState,
                                                             .mReserved = aReserved,
                                                             .mVm = aTask.mVm,
                                                             .mDetail = aTask.mDetail })
                                          .value());
}

/// Cancels an offer or a reservation that was not started.
void
CancelUnstarted(OwnerStep& aStep, const TaskKey& aKey, TrackedTask& aTask, std::string_view aDetail)
{
  aStep.mActions.mCancels.push_back(TaskIdOf(aKey));
  aTask.mHoldsReservation = false;
  EndTrackedTask(aStep.mTasks, aKey, TaskState::NotStarted, aDetail, aStep.mNow);
}

void
Start(OwnerStep& aStep, const Assignment& aAssignment, const TaskKey& aKey, TrackedTask& aTask)
{
  aTask.mNotAfter = aStep.mNow + kStartWindow;
  aStep.mActions.mStarts.push_back(
    { .mVm = aTask.mVm, .mStart = StartOf(aStep, aAssignment, aKey, aTask) });
  SetPhase(aStep.mTasks, aKey, TaskPhase::Starting, aStep.mNow);
}

void
Stop(OwnerStep& aStep, const TaskKey& aKey, TrackedTask& aTask)
{
  if (!IsDue(aTask.mStoppedAt, kStopRetryInterval, aStep.mNow)) {
    return;
  }
  aTask.mStoppedAt = aStep.mNow;
  aStep.mActions.mStops.push_back(
    { .mVm = aTask.mVm,
      .mCommand = TaskCommand::Create({ .mTask = TaskIdOf(aKey),
                                        .mAction = TaskAction::Stop,
                                        .mOwner = aStep.mContext.mSelf,
                                        .mEpoch = aStep.mTasks.mOwned.at(aTask.mRack) })
                    .value() });
}

void
AdvanceReserved(OwnerStep& aStep,
                const Assignment& aAssignment,
                const TaskKey& aKey,
                TrackedTask& aTask)
{
  if (MustStop(*aAssignment.mIntent, *aAssignment.mRow)) {
    CancelUnstarted(aStep, aKey, aTask, "");
  } else if (MayStart(aAssignment)) {
    Start(aStep, aAssignment, aKey, aTask);
  } else if (!aAssignment.mRow->Reserved()) {
    Report(aStep, aKey, aTask, TaskState::NotStarted, true);
  }
}

void
AdvanceRunning(OwnerStep& aStep,
               const Assignment& aAssignment,
               const TaskKey& aKey,
               TrackedTask& aTask)
{
  const bool reported = aAssignment.mRow->State() == TaskState::Running;
  if (!reported) {
    Report(aStep, aKey, aTask, TaskState::Running, false);
  }
  if (MustStop(*aAssignment.mIntent, *aAssignment.mRow)) {
    Stop(aStep, aKey, aTask);
  } else if (reported) {
    aStep.mTasks.mActive.erase(aKey);
  }
}

void
AdvanceUnanswered(OwnerStep& aStep, const TaskKey& aKey, const TrackedTask& aTask)
{
  const bool isPastDeadline = aTask.mNotAfter + aStep.mContext.mClockDrift < aStep.mNow;
  if (aTask.mPhase == TaskPhase::Starting && isPastDeadline) {
    SetPhase(aStep.mTasks, aKey, TaskPhase::Unanswered, aStep.mNow);
  }
  if (isPastDeadline) {
    aStep.mActions.mInventoryRequests.push_back(aTask.mVm);
  }
}

/// Releases the capacity of a task that ended.
void
ReleaseReservation(OwnerStep& aStep, const TaskKey& aKey, TrackedTask& aTask)
{
  if (aTask.mHoldsReservation) {
    aTask.mHoldsReservation = false;
    aStep.mActions.mFinished.push_back(TaskIdOf(aKey));
  }
}

void
AdvanceEnded(OwnerStep& aStep,
             const Assignment& aAssignment,
             const TaskKey& aKey,
             TrackedTask& aTask)
{
  ReleaseReservation(aStep, aKey, aTask);
  if (aAssignment.mRow != nullptr) {
    Report(aStep, aKey, aTask, aTask.mEnd, false);
    return;
  }
  if (!aTask.mVm.IsEmpty()) {
    aStep.mActions.mAcknowledged.push_back({ .mVm = aTask.mVm, .mTask = TaskIdOf(aKey) });
  }
  UntrackTask(aStep.mTasks, aKey);
}

/// Handles a task whose generation has ended in the log: cancels it, or stops it if it runs.
void
AdvanceSuperseded(OwnerStep& aStep, const TaskKey& aKey, TrackedTask& aTask)
{
  switch (aTask.mPhase) {
    case TaskPhase::Offered:
    case TaskPhase::Reserved:
      aStep.mActions.mCancels.push_back(TaskIdOf(aKey));
      UntrackTask(aStep.mTasks, aKey);
      break;
    case TaskPhase::Running:
      Stop(aStep, aKey, aTask);
      break;
    case TaskPhase::Starting:
    case TaskPhase::Unanswered:
      AdvanceUnanswered(aStep, aKey, aTask);
      break;
    case TaskPhase::VmLost:
      if (aTask.mSince <= aStep.mNow) {
        EndTrackedTask(aStep.mTasks, aKey, TaskState::Lost, "its VM was lost", aStep.mNow);
      }
      break;
    case TaskPhase::Ended:
      AdvanceEnded(aStep, {}, aKey, aTask);
      break;
  }
}

void
AdvanceLive(OwnerStep& aStep,
            const Assignment& aAssignment,
            const TaskKey& aKey,
            TrackedTask& aTask)
{
  switch (aTask.mPhase) {
    case TaskPhase::Offered:
      if (MustStop(*aAssignment.mIntent, *aAssignment.mRow)) {
        CancelUnstarted(aStep, aKey, aTask, "");
      } else if (aTask.mSince + kOfferTimeout < aStep.mNow) {
        CancelUnstarted(aStep, aKey, aTask, "its rack had no room in time");
      }
      break;
    case TaskPhase::Reserved:
      AdvanceReserved(aStep, aAssignment, aKey, aTask);
      break;
    case TaskPhase::Starting:
    case TaskPhase::Unanswered:
      AdvanceUnanswered(aStep, aKey, aTask);
      break;
    case TaskPhase::Running:
      AdvanceRunning(aStep, aAssignment, aKey, aTask);
      break;
    case TaskPhase::VmLost:
      if (aTask.mSince <= aStep.mNow) {
        EndTrackedTask(aStep.mTasks, aKey, TaskState::Lost, "its VM was lost", aStep.mNow);
      }
      break;
    case TaskPhase::Ended:
      break;
  }
}

} // namespace

void
TrackAssignment(OwnerStep& aStep, const OwnedRack& aRack, const TaskKey& aKey)
{
  const auto found = FindRow(aStep.mTable, aKey);
  const auto* tracked = FindTrackedTask(aStep.mTasks, aKey);
  if (found.mRow == nullptr || !found.mRow->Assigned()) {
    return;
  }
  if (tracked != nullptr) {
    const bool isOlder = tracked->mGeneration < found.mRow->Generation();
    if (!isOlder || tracked->mPhase == TaskPhase::Ended) {
      aStep.mTasks.mActive.insert(aKey);
    }
    if (tracked->mGeneration >= found.mRow->Generation()) {
      return;
    }
    // The older generation must end before the new one is tracked.
    AdvanceTask(aStep, aKey);
    if (FindTrackedTask(aStep.mTasks, aKey) != nullptr) {
      return;
    }
  }
  if (!aRack.mReconciled) {
    return;
  }
  TrackTask(aStep.mTasks, aKey, NewTrackedTask(aRack, *found.mRow, aStep.mNow));
  if (MayHaveStarted(found)) {
    EndTrackedTask(
      aStep.mTasks, aKey, TaskState::Lost, "its server was lost with its rack's owner", aStep.mNow);
  } else if (found.mRow->Reserved() || MustStop(*found.mIntent, *found.mRow)) {
    EndTrackedTask(
      aStep.mTasks, aKey, TaskState::NotStarted, "its reservation was lost", aStep.mNow);
  } else {
    aStep.mActions.mOffers.push_back(OfferOf(found, aKey, aStep.mNow));
  }
}

void
ReportMissingTasks(OwnerStep& aStep, const OwnedRack& aRack)
{
  auto& checkedEpoch = aStep.mTasks.mCheckedEpochs[aRack.mRack];
  if (!aRack.mReconciled || checkedEpoch == aRack.mEpoch) {
    return;
  }
  checkedEpoch = aRack.mEpoch;
  const auto load = aStep.mTable.mRacks.find(aRack.mRack);
  if (load == aStep.mTable.mRacks.end()) {
    return;
  }
  for (const auto& key : load->second.mRunning) {
    if (FindTrackedTask(aStep.mTasks, key) == nullptr) {
      const auto found = FindRow(aStep.mTable, key);
      TrackTask(aStep.mTasks, key, NewTrackedTask(aRack, *found.mRow, aStep.mNow));
      EndTrackedTask(
        aStep.mTasks, key, TaskState::Lost, "no server of its rack runs it any more", aStep.mNow);
    }
  }
}

void
AdvanceTask(OwnerStep& aStep, const TaskKey& aKey)
{
  auto* task = FindTrackedTask(aStep.mTasks, aKey);
  if (task == nullptr) {
    aStep.mTasks.mActive.erase(aKey);
    return;
  }
  if (!aStep.mTasks.mOwned.contains(task->mRack)) {
    UntrackTask(aStep.mTasks, aKey);
    return;
  }
  const auto live = FindLive(aStep.mTable, aKey, *task);
  if (live.mRow == nullptr) {
    AdvanceSuperseded(aStep, aKey, *task);
    return;
  }
  AdvanceLive(aStep, live, aKey, *task);
  task = FindTrackedTask(aStep.mTasks, aKey);
  if (task != nullptr && task->mPhase == TaskPhase::Ended) {
    AdvanceEnded(aStep, live, aKey, *task);
  }
}

} // namespace by::detail
