#include "by_node/detail/HandleIntents.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "by_node/detail/AppendToLog.h"
#include "by_node/detail/Dump.h"
#include "by_node/detail/HandleWork.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/SendCommand.h"
#include "by_schema/SendStart.h"

namespace by::detail {

namespace {

void
RefreshBackendServers(NodeState& aState)
{
  if (aState.mBackendServersVersion == aState.mMembership.mVmsVersion) {
    return;
  }
  aState.mBackendServersVersion = aState.mMembership.mVmsVersion;
  aState.mBackendServers = BackendServersOf(aState);
}

std::vector<RackOwner>
OwnersOf(const NodeState& aState)
{
  std::vector<RackOwner> owners;
  for (const auto& [rack, owner] : aState.mLog.mOwners.mRows) {
    owners.push_back(owner);
  }
  return owners;
}

void
StepAsController(StepWork& aWork)
{
  auto& state = aWork.mState;
  RefreshBackendServers(state);
  const auto owners = OwnersOf(state);
  const IntentContext context{ .mSelf = state.mSettings.Node(),
                               .mLive = LiveNodes(aWork),
                               .mVms = &state.mBackendServers,
                               .mVmsVersion = state.mBackendServersVersion,
                               .mOwners = &owners,
                               .mConfig = &state.mLog.mConfig.mCurrent.Document(),
                               .mLogFresh = IsLogFresh(aWork) && !state.mDraining };
  for (auto& record : StepController(state.mController, state.mLog.mIntents, context, aWork.mNow)) {
    std::visit([&aWork](auto& aBody) { QueueRecord(aWork, std::move(aBody)); }, record);
  }
}

RackTasksContext
RackTasksContextOf(const StepWork& aWork)
{
  const auto& state = aWork.mState;
  RackTasksContext context{ .mSelf = state.mSettings.Node(),
                            .mRacks = {},
                            .mClockDrift = state.mSettings.Cluster().ClockDrift() };
  for (const auto& [rack, held] : state.mOwnership.mRacks) {
    context.mRacks.push_back({ .mRack = rack,
                               .mEpoch = held.Epoch(),
                               .mReconciled = IsRackResolved(state.mOwnership, rack) });
  }
  return context;
}

void
SendTaskStart(StepWork& aWork, const IntentTaskStart& aStart)
{
  auto& state = aWork.mState;
  const auto& cluster = state.mSettings.Cluster();
  const auto& start = aStart.mStart;
  const auto* vm = FindVm(state.mMembership, aStart.mVm);
  const auto epoch = AuthorityOn(state.mOwnership, aStart.mVm, aWork.mNow, cluster);
  if (vm == nullptr || epoch != start.Epoch()) {
    ObserveUnanswered(state.mRackTasks,
                      aStart.mVm,
                      start.Task(),
                      start.Generation(),
                      false,
                      "the lease has lapsed",
                      aWork.mNow);
    return;
  }
  const auto deadline =
    std::min(start.NotAfter(), StartDeadline(state.mOwnership, aStart.mVm, aWork.mNow, cluster));
  Emit(aWork,
       SendStart::Create({ .mVm = aStart.mVm,
                           .mEndpoint = vm->Endpoint(),
                           .mStart = start.WithNotAfter(deadline).WithIncarnation(
                             ServerIncarnation(state.mOwnership, aStart.mVm)),
                           .mWaitForEnd = false })
         .value());
}

void
SendTaskStop(StepWork& aWork, const IntentTaskStop& aStop)
{
  if (const auto* vm = FindVm(aWork.mState.mMembership, aStop.mVm)) {
    Emit(aWork,
         SendCommand::Create(
           { .mVm = aStop.mVm, .mEndpoint = vm->Endpoint(), .mCommand = aStop.mCommand })
           .value());
  }
}

void
ReleaseReservations(StepWork& aWork, const RackTaskActions& aActions)
{
  auto& state = aWork.mState;
  for (const auto& task : aActions.mCancels) {
    if (!CancelWork(state.mScheduler, task)) {
      TaskEnded(state.mScheduler, task, TaskState::NotStarted, Time(), aWork.mNow);
    }
  }
  for (const auto& task : aActions.mFinished) {
    TaskEnded(state.mScheduler, task, TaskState::Stopped, Time(), aWork.mNow);
  }
}

/// @returns whether tasks were offered; the caller then steps again to handle the placements.
bool
StepAsOwner(StepWork& aWork)
{
  auto& state = aWork.mState;
  const auto actions =
    StepRackTasks(state.mRackTasks, state.mLog.mIntents, RackTasksContextOf(aWork), aWork.mNow);
  ReleaseReservations(aWork, actions);
  for (const auto& report : actions.mReports) {
    QueueRecord(aWork, report);
  }
  for (const auto& stop : actions.mStops) {
    SendTaskStop(aWork, stop);
  }
  for (const auto& start : actions.mStarts) {
    SendTaskStart(aWork, start);
  }
  for (const auto& ended : actions.mAcknowledged) {
    state.mAcknowledge[ended.mVm].insert(ended.mTask.Text());
  }
  state.mInventoryRequests.insert(actions.mInventoryRequests.begin(),
                                  actions.mInventoryRequests.end());
  for (const auto& offer : actions.mOffers) {
    Apply(aWork, SubmitWork(state.mScheduler, state.mPolicy, offer, aWork.mNow));
  }
  return !actions.mOffers.empty();
}

} // namespace

void
StepIntents(StepWork& aWork)
{
  StepAsController(aWork);
  if (StepAsOwner(aWork)) {
    StepAsOwner(aWork);
  }
}

} // namespace by::detail
