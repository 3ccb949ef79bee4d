#include "by_node/detail/HandleDrain.h"

#include <utility>

#include "by_node/detail/HandleOwnership.h"
#include "by_node/detail/HandleWork.h"
#include "by_node/detail/StepWork.h"
#include "by_schema/Exit.h"
#include "by_schema/SetReady.h"

namespace by::detail {

namespace {

/// Minimum time from the start of a drain to the end of the process, so that the load balancer sees
/// that the node is not ready before connections to it fail.
constexpr Time kMinDrainTime = Time::FromMilliseconds(500);

bool
HasNothingPending(const NodeState& aState)
{
  return aState.mRequests.mRows.empty() && aState.mOwnership.mRacks.empty() &&
         aState.mPendingCalls.empty() && aState.mWriter.mInFlight.empty() &&
         aState.mWriter.mWaiting.empty() && aState.mWriter.mClaims.empty();
}

void
EndProcess(StepWork& aWork, bool aClean)
{
  aWork.mState.mExited = true;
  EmitNote(aWork, NodePart::Node, aClean ? "Stopped clean." : "Stopped at the bound.");
  Emit(aWork, Exit::Create({ .mClean = aClean }).value());
}

} // namespace

void
StartDrain(StepWork& aWork)
{
  auto& state = aWork.mState;
  if (state.mDraining) {
    return;
  }
  state.mDraining = true;
  state.mDrainSince = aWork.mNow;
  state.mReady = false;
  EmitNote(aWork, NodePart::Node, "The planned stop begins.");
  Emit(aWork, SetReady::Create({ .mReady = false, .mStopping = true }).value());
  state.mNextHeartbeat = aWork.mNow;
  RequestActions actions;
  ForwardQueuedRequests(state.mRequests, RequestContextOf(aWork), aWork.mNow, actions);
  Apply(aWork, std::move(actions));
  StepControl(aWork);
}

void
AdvanceDrain(StepWork& aWork)
{
  auto& state = aWork.mState;
  if (!state.mDraining || state.mExited) {
    return;
  }
  const auto elapsed = aWork.mNow - state.mDrainSince;
  if (elapsed >= kMinDrainTime && HasNothingPending(state)) {
    EndProcess(aWork, true);
    return;
  }
  if (elapsed >= state.mSettings.Cluster().DrainBound()) {
    RequestActions actions;
    AnswerAllRemaining(state.mRequests, RequestContextOf(aWork), aWork.mNow, actions);
    Apply(aWork, std::move(actions));
    EndProcess(aWork, false);
  }
}

} // namespace by::detail
