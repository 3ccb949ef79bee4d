#include "by_node/detail/HandleWork.h"

#include <deque>
#include <utility>

#include "by_node/detail/StepWork.h"
#include "by_schema/SendCommand.h"
#include "by_schema/TaskAnswered.h"
#include "by_schema/TaskUnanswered.h"

namespace by::detail {

namespace {

bool
IsIntentTask(const TaskId& aTask)
{
  return TaskKeyOf(aTask).has_value();
}

bool
IsPreemptible(const NodeState& aState, const TaskId& aTask)
{
  const auto row = aState.mRequests.mRows.find(RequestId(aTask.Text()));
  return row != aState.mRequests.mRows.end() && row->second.Request().Idempotent();
}

void
SendPreemption(StepWork& aWork, const Preemption& aPreemption)
{
  auto& state = aWork.mState;
  const auto* vm = FindVm(state.mMembership, aPreemption.Vm());
  const auto epoch = CommandEpoch(state.mOwnership, aPreemption.Vm(), aWork.mNow);
  if (vm == nullptr || !epoch.has_value() || !IsPreemptible(state, aPreemption.Task())) {
    return;
  }
  Emit(aWork,
       SendCommand::Create({ .mVm = aPreemption.Vm(),
                             .mEndpoint = vm->Endpoint(),
                             .mCommand = TaskCommand::Create({ .mTask = aPreemption.Task(),
                                                               .mAction = aPreemption.Action(),
                                                               .mOwner = state.mSettings.Node(),
                                                               .mEpoch = *epoch })
                                           .value() })
         .value());
}

void
DeliverPlacement(StepWork& aWork, const PlacedWork& aPlaced, RequestActions& aActions)
{
  auto& state = aWork.mState;
  if (!IsIntentTask(aPlaced.Task())) {
    ObservePlacedRequest(state.mRequests, RequestContextOf(aWork), aPlaced, aWork.mNow, aActions);
    return;
  }
  if (!ObservePlaced(state.mRackTasks, aPlaced, aWork.mNow)) {
    TaskEnded(state.mScheduler, aPlaced.Task(), TaskState::NotStarted, Time(), aWork.mNow);
  }
}

void
DeliverRefusal(StepWork& aWork, const RefusedWork& aRefused, RequestActions& aActions)
{
  auto& state = aWork.mState;
  if (IsIntentTask(aRefused.Task())) {
    ObserveRefused(state.mRackTasks, aRefused, aWork.mNow);
    return;
  }
  ObserveRefusedRequest(state.mRequests, RequestContextOf(aWork), aRefused, aWork.mNow, aActions);
}

RequestActions
DeliverOutcome(StepWork& aWork, const ScheduleOutcome& aOutcome)
{
  RequestActions actions;
  for (const auto& placed : aOutcome.mPlaced) {
    DeliverPlacement(aWork, placed, actions);
  }
  for (const auto& refused : aOutcome.mRefused) {
    DeliverRefusal(aWork, refused, actions);
  }
  for (const auto& preemption : aOutcome.mPreemptions) {
    SendPreemption(aWork, preemption);
  }
  return actions;
}

} // namespace

void
Apply(StepWork& aWork, RequestActions aActions)
{
  std::deque<RequestActions> pending;
  pending.push_back(std::move(aActions));
  while (!pending.empty()) {
    auto actions = std::move(pending.front());
    pending.pop_front();
    for (auto& effect : actions.mEffects) {
      aWork.mEffects.push_back(std::move(effect));
    }
    auto& claims = aWork.mState.mWriter.mClaims;
    claims.insert(claims.end(), actions.mClaims.begin(), actions.mClaims.end());
    for (const auto& outcome : actions.mOutcomes) {
      pending.push_back(DeliverOutcome(aWork, outcome));
    }
  }
}

void
Apply(StepWork& aWork, const ScheduleOutcome& aOutcome)
{
  Apply(aWork, DeliverOutcome(aWork, aOutcome));
}

void
DispatchWork(StepWork& aWork)
{
  Apply(aWork, Dispatch(aWork.mState.mScheduler, aWork.mState.mPolicy, aWork.mNow));
}

void
ObserveTaskAnswered(StepWork& aWork, const TaskAnswered& aAnswered)
{
  auto& state = aWork.mState;
  const auto& result = aAnswered.Result();
  if (IsIntentTask(result.Task())) {
    ObserveTaskResult(state.mRackTasks, aAnswered.Vm(), result, aWork.mNow);
  } else {
    RequestActions actions;
    ObserveRequestResult(
      state.mRequests, RequestContextOf(aWork), aAnswered.Vm(), result, aWork.mNow, actions);
    Apply(aWork, std::move(actions));
  }
  DispatchWork(aWork);
}

void
ObserveTaskUnanswered(StepWork& aWork, const TaskUnanswered& aUnanswered)
{
  auto& state = aWork.mState;
  if (IsIntentTask(aUnanswered.Task())) {
    ObserveUnanswered(state.mRackTasks,
                      aUnanswered.Vm(),
                      aUnanswered.Task(),
                      aUnanswered.Generation(),
                      aUnanswered.MayHaveStarted(),
                      aUnanswered.Detail(),
                      aWork.mNow);
  } else {
    RequestActions actions;
    ObserveRequestUnanswered(
      state.mRequests, RequestContextOf(aWork), aUnanswered, aWork.mNow, actions);
    Apply(aWork, std::move(actions));
  }
  if (aUnanswered.MayHaveStarted()) {
    // After this time, the server accepts no start that was sent before now.
    const auto& cluster = state.mSettings.Cluster();
    state.mInventoryRefreshAt[aUnanswered.Vm()] =
      aWork.mNow + cluster.LeaseTtl() + cluster.ClockDrift() * 2;
  }
  DispatchWork(aWork);
}

} // namespace by::detail
