#include "by_node/detail/HandleOwnership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_node/detail/AppendToLog.h"
#include "by_node/detail/HandleIntents.h"
#include "by_node/detail/HandleWork.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/LeaseAnswered.h"
#include "by_schema/LeaseFailed.h"

namespace by::detail {

namespace {

constexpr std::int64_t kFullPermille = 1000;

void
SendLeases(StepWork& aWork, const std::vector<SendLease>& aLeases)
{
  auto& state = aWork.mState;
  for (const auto& lease : aLeases) {
    auto request = lease.Request();
    if (state.mInventoryRequests.erase(lease.Vm()) > 0) {
      request = request.WithWantInventory(true);
    }
    const auto ended = state.mAcknowledge.find(lease.Vm());
    if (ended != state.mAcknowledge.end()) {
      request = request.WithAcknowledged({ ended->second.begin(), ended->second.end() });
      state.mAcknowledge.erase(ended);
    }
    Emit(aWork, lease.WithRequest(std::move(request)));
  }
}

void
AdoptRunningTask(StepWork& aWork, const AdoptedTask& aTask)
{
  auto& state = aWork.mState;
  TeamId team;
  if (const auto key = TaskKeyOf(aTask.Status().Task())) {
    if (const auto* intent = FindIntent(state.mLog.mIntents, key->mIntent)) {
      team = intent->mPlan.Spec().Team();
    }
  }
  if (aTask.Status().State() == TaskState::Running) {
    AdoptTask(state.mScheduler, aTask.Vm(), aTask.Status(), team);
  }
}

/// Handles the end of a task that was adopted from another node, or whose answer was lost.
void
ObserveTaskEnded(StepWork& aWork, const AdoptedTask& aTask)
{
  auto& state = aWork.mState;
  const auto& status = aTask.Status();
  const auto* vm = FindVm(state.mMembership, aTask.Vm());
  if (TaskKeyOf(status.Task()).has_value() && vm != nullptr) {
    ObserveTaskStatus(state.mRackTasks, aTask.Vm(), vm->Rack(), status, aWork.mNow);
    return;
  }
  const bool isKnownRequest = state.mRequests.mRows.contains(RequestId(status.Task().Text()));
  if (!isKnownRequest && status.State() != TaskState::Running) {
    TaskEnded(state.mScheduler, status.Task(), status.State(), status.Ran(), aWork.mNow);
    state.mAcknowledge[aTask.Vm()].insert(status.Task().Text());
  }
}

/// Handles the certain end of all tasks on a VM, whose last lease has expired or whose server was
/// replaced.
void
ObserveLostTasks(StepWork& aWork, const VmId& aVm)
{
  auto& state = aWork.mState;
  ObserveVmLost(state.mRackTasks, aVm, aWork.mNow);
  RequestActions actions;
  ObserveRequestsLostOn(state.mRequests, RequestContextOf(aWork), aVm, aWork.mNow, actions);
  Apply(aWork, std::move(actions));
}

/// Requests the inventory of VMs whose unanswered starts can't be accepted any more.
void
RefreshInventories(StepWork& aWork)
{
  auto& state = aWork.mState;
  std::vector<VmId> due;
  for (const auto& [vm, at] : state.mInventoryRefreshAt) {
    if (at <= aWork.mNow) {
      due.push_back(vm);
    }
  }
  for (const auto& vm : due) {
    state.mInventoryRefreshAt.erase(vm);
    Apply(aWork, RefreshInventory(state.mOwnership, OwnershipContextOf(aWork), vm, aWork.mNow));
  }
}

/// Splits the request quotas by racks, because each rack has only one owner at a time.
void
UpdateQuotaShare(StepWork& aWork)
{
  auto& state = aWork.mState;
  const auto allRacks = static_cast<std::int64_t>(state.mMembership.mRacks.size());
  const auto ownedRacks = static_cast<std::int64_t>(state.mOwnership.mRacks.size());
  const auto share =
    allRacks == 0 ? 0 : std::min(ownedRacks * kFullPermille / allRacks, kFullPermille);
  if (share != state.mQuotaShare) {
    state.mQuotaShare = share;
    SetTeams(state.mScheduler, state.mLog.mConfig.mCurrent.Document(), share);
  }
}

} // namespace

void
Apply(StepWork& aWork, const OwnershipActions& aActions)
{
  auto& state = aWork.mState;
  for (const auto& body : aActions.mRecords) {
    QueueRecord(aWork, body, aWork.mNow + state.mSettings.Cluster().SuspectAfter());
  }
  for (const auto& vm : aActions.mLost) {
    RemoveVm(state.mScheduler, vm);
  }
  for (const auto& vm : aActions.mTasksLost) {
    ObserveLostTasks(aWork, vm);
  }
  for (const auto& vm : aActions.mGained) {
    PutVm(state.mScheduler, vm, aWork.mNow);
  }
  for (const auto& vm : aActions.mChanged) {
    PutVm(state.mScheduler, vm, aWork.mNow);
  }
  for (const auto& task : aActions.mInventory) {
    AdoptRunningTask(aWork, task);
  }
  for (const auto& task : aActions.mEnded) {
    ObserveTaskEnded(aWork, task);
  }
  SendLeases(aWork, aActions.mLeases);
  if (!aActions.mGained.empty()) {
    EmitNote(aWork, NodePart::Ownership, absl::StrCat("Gained ", aActions.mGained.size(), " VMs."));
  }
  if (!aActions.mLost.empty()) {
    EmitNote(aWork, NodePart::Ownership, absl::StrCat("Lost ", aActions.mLost.size(), " VMs."));
  }
}

void
StepControl(StepWork& aWork)
{
  auto& state = aWork.mState;
  Apply(aWork, StepOwnership(state.mOwnership, OwnershipContextOf(aWork), aWork.mNow));
  RefreshInventories(aWork);
  UpdateQuotaShare(aWork);
  StepIntents(aWork);
  DispatchWork(aWork);
}

void
ObserveLeaseAnswered(StepWork& aWork, const LeaseAnswered& aAnswered)
{
  auto& state = aWork.mState;
  auto actions = ObserveLease(state.mOwnership, OwnershipContextOf(aWork), aAnswered, aWork.mNow);
  Apply(aWork, actions);
  const auto& grant = aAnswered.Grant();
  const auto* vm = FindVm(state.mMembership, aAnswered.Vm());
  if (!grant.Granted() || vm == nullptr) {
    return;
  }
  ObserveUsage(state.mScheduler, aAnswered.Vm(), grant, aWork.mNow);
  if (aAnswered.Inventory()) {
    ObserveInventory(state.mRackTasks,
                     aAnswered.Vm(),
                     vm->Rack(),
                     grant.Tasks(),
                     aAnswered.SentAt(),
                     state.mSettings.Cluster().ClockDrift(),
                     aWork.mNow);
  }
  if (!actions.mGained.empty()) {
    StepIntents(aWork);
    DispatchWork(aWork);
  }
}

void
ObserveLeaseFailed(StepWork& aWork, const LeaseFailed& aFailed)
{
  auto& state = aWork.mState;
  Apply(aWork,
        ObserveLeaseFailure(state.mOwnership, OwnershipContextOf(aWork), aFailed.Vm(), aWork.mNow));
}

} // namespace by::detail
