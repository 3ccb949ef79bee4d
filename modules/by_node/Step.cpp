#include "by_node/Step.h"

#include <utility>

#include "by_node/detail/AppendToLog.h"
#include "by_node/detail/HandleDrain.h"
#include "by_node/detail/HandleLog.h"
#include "by_node/detail/HandleOperators.h"
#include "by_node/detail/HandleOwnership.h"
#include "by_node/detail/HandleWork.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/SendHeartbeat.h"
#include "by_schema/SetReady.h"

namespace by {

namespace {

using detail::StepWork;

constexpr Time kControlInterval = Time::FromMilliseconds(100);

void
SendHeartbeatIfDue(StepWork& aWork)
{
  auto& state = aWork.mState;
  if (aWork.mNow < state.mNextHeartbeat) {
    return;
  }
  state.mNextHeartbeat = aWork.mNow + state.mSettings.Cluster().HeartbeatInterval();
  auto summary = Summarise(state.mScheduler)
                   .WithRacks(static_cast<std::int64_t>(state.mOwnership.mRacks.size()));
  auto heartbeat = Heartbeat::Create({ .mNode = state.mSettings.Node(),
                                       .mIncarnation = state.mIncarnation,
                                       .mSequence = ++state.mHeartbeats,
                                       .mZone = state.mSettings.Zone(),
                                       .mReady = detail::IsReady(state),
                                       .mLeaving = state.mDraining,
                                       .mAppliedOffset = state.mLog.mNextOffset,
                                       .mConfigVersion = state.mConfigVersion,
                                       .mLogReadAge = aWork.mNow - state.mLogReadAt,
                                       .mSummary = std::move(summary) })
                     .value();
  detail::Emit(aWork, SendHeartbeat::Create({ .mHeartbeat = std::move(heartbeat) }).value());
  detail::QueryPeersForState(aWork);
  detail::WriteSnapshotIfDue(aWork);
}

void
PublishReadiness(StepWork& aWork)
{
  auto& state = aWork.mState;
  const bool ready = detail::IsReady(state);
  if (ready != state.mReady) {
    state.mReady = ready;
    detail::EmitNote(aWork, NodePart::Node, ready ? "Ready." : "Not ready.");
    detail::Emit(aWork,
                 SetReady::Create({ .mReady = ready, .mStopping = state.mDraining }).value());
  }
}

void
Handle(StepWork& aWork, const Tick&)
{
  auto& state = aWork.mState;
  if (state.mNextControl <= aWork.mNow) {
    state.mNextControl = aWork.mNow + kControlInterval;
    detail::StepControl(aWork);
    detail::ExpireCalls(aWork);
  }
  RequestActions actions;
  CheckRequests(state.mRequests, detail::RequestContextOf(aWork), aWork.mNow, actions);
  detail::Apply(aWork, std::move(actions));
  SendHeartbeatIfDue(aWork);
  detail::AdvanceDrain(aWork);
}

void
Handle(StepWork& aWork, const CallerSubmitted& aEvent)
{
  RequestActions actions;
  SubmitRequest(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aEvent.Request(), aWork.mNow, actions);
  detail::Apply(aWork, std::move(actions));
}

void
Handle(StepWork& aWork, const CallerGone& aEvent)
{
  RequestActions actions;
  ObserveCallerGone(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aEvent.Request(), aWork.mNow, actions);
  detail::Apply(aWork, std::move(actions));
}

void
Handle(StepWork& aWork, const PeerHeartbeat& aEvent)
{
  ObserveHeartbeat(aWork.mState.mMembership, aEvent.Heartbeat(), aWork.mNow);
}

void
HandleFrame(StepWork& aWork, const NodeId&, const ForwardedRequest& aBody, RequestActions& aActions)
{
  ObserveForwarded(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aBody, aWork.mNow, aActions);
}

void
HandleFrame(StepWork& aWork,
            const NodeId& aFrom,
            const ForwardedAnswer& aBody,
            RequestActions& aActions)
{
  ObserveForwardedAnswer(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aFrom, aBody, aWork.mNow, aActions);
}

void
HandleFrame(StepWork& aWork,
            const NodeId& aFrom,
            const ForwardedCancel& aBody,
            RequestActions& aActions)
{
  ObserveForwardedCancel(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aFrom, aBody, aWork.mNow, aActions);
}

void
HandleFrame(StepWork& aWork, const NodeId&, const AnswerQuery& aBody, RequestActions& aActions)
{
  ObserveAnswerQuery(aWork.mState.mRequests, detail::RequestContextOf(aWork), aBody, aActions);
}

void
HandleFrame(StepWork& aWork, const NodeId&, const StateQuery& aBody, RequestActions&)
{
  detail::ObserveStateQuery(aWork, aBody);
}

void
HandleFrame(StepWork& aWork, const NodeId&, const StateTransfer& aBody, RequestActions&)
{
  detail::ObserveStateTransfer(aWork, aBody);
}

void
Handle(StepWork& aWork, const PeerFrame& aEvent)
{
  RequestActions actions;
  const auto& frame = aEvent.Frame();
  std::visit([&](const auto& aBody) { HandleFrame(aWork, frame.From(), aBody, actions); },
             frame.Body());
  detail::Apply(aWork, std::move(actions));
}

void
Handle(StepWork& aWork, const PeerUnreachable& aEvent)
{
  RequestActions actions;
  ObservePeerUnreachable(
    aWork.mState.mRequests, detail::RequestContextOf(aWork), aEvent, aWork.mNow, actions);
  detail::Apply(aWork, std::move(actions));
}

void
Handle(StepWork& aWork, const LogRead& aEvent)
{
  detail::ObserveLogRead(aWork, aEvent);
}

void
Handle(StepWork& aWork, const LogReadFailed&)
{
  detail::ObserveLogReadFailed(aWork);
}

void
Handle(StepWork& aWork, const AppendDone&)
{
  detail::ObserveAppendDone(aWork);
}

void
Handle(StepWork& aWork, const AppendFailed& aEvent)
{
  detail::ObserveRecordsFailed(aWork, aEvent);
}

void
Handle(StepWork& aWork, const VmListRead& aEvent)
{
  aWork.mState.mVmListRead = true;
  ObserveVmList(aWork.mState.mMembership, aEvent.List(), aWork.mNow);
}

void
Handle(StepWork& aWork, const LeaseAnswered& aEvent)
{
  detail::ObserveLeaseAnswered(aWork, aEvent);
}

void
Handle(StepWork& aWork, const LeaseFailed& aEvent)
{
  detail::ObserveLeaseFailed(aWork, aEvent);
}

void
Handle(StepWork& aWork, const TaskAnswered& aEvent)
{
  detail::ObserveTaskAnswered(aWork, aEvent);
}

void
Handle(StepWork& aWork, const TaskUnanswered& aEvent)
{
  detail::ObserveTaskUnanswered(aWork, aEvent);
}

void
Handle(StepWork& aWork, const OperatorCall& aEvent)
{
  detail::ObserveOperatorCall(aWork, aEvent);
}

} // namespace

NodeState
MakeNodeState(NodeSettings aSettings, std::uint64_t aIncarnation)
{
  NodeState state;
  state.mSettings = std::move(aSettings);
  state.mIncarnation = aIncarnation;
  auto policy = PolicyFrom(ConfigDocument());
  if (policy.ok()) {
    state.mPolicy = *policy;
  }
  return state;
}

StepResult
Step(NodeState aState, const NodeEvent& aEvent, Time aNow)
{
  StepWork work{ .mState = aState, .mNow = aNow, .mEffects = {} };
  if (!aState.mExited) {
    std::visit([&work](const auto& aBody) { Handle(work, aBody); }, aEvent.Body());
    PublishReadiness(work);
    detail::FlushRecords(work);
  }
  auto effects = std::move(work.mEffects);
  return { .mState = std::move(aState), .mEffects = std::move(effects) };
}

} // namespace by
