#include "by_node/detail/StepWork.h"

namespace by::detail {

namespace {

/// How much older than one waiting read the last read of the log may be before the log is stale.
constexpr Time kLogReadSlack = Time::FromMilliseconds(2000);

} // namespace

bool
IsLogFresh(const StepWork& aWork)
{
  const auto& state = aWork.mState;
  const auto limit = state.mSettings.Platform().ReadWait() + kLogReadSlack;
  return state.mCaughtUp && !state.mLogFailed && aWork.mNow - state.mLogReadAt <= limit;
}

bool
IsReady(const NodeState& aState)
{
  return aState.mCaughtUp && aState.mVmListRead && !aState.mDraining;
}

RequestContext
RequestContextOf(StepWork& aWork)
{
  auto& state = aWork.mState;
  return { .mSelf = state.mSettings.Node(),
           .mIncarnation = state.mIncarnation,
           .mSettings = &state.mSettings,
           .mReady = IsReady(state),
           .mDraining = state.mDraining,
           .mLogFresh = IsLogFresh(aWork),
           .mLogState = &state.mLog,
           .mMembership = &state.mMembership,
           .mOwnership = &state.mOwnership,
           .mScheduler = &state.mScheduler,
           .mPolicy = &state.mPolicy };
}

OwnershipContext
OwnershipContextOf(const StepWork& aWork)
{
  const auto& state = aWork.mState;
  return { .mSelf = state.mSettings.Node(),
           .mIncarnation = state.mIncarnation,
           .mLogState = &state.mLog,
           .mMembership = &state.mMembership,
           .mSettings = &state.mSettings.Cluster(),
           .mDraining = state.mDraining,
           .mLogFresh = IsLogFresh(aWork),
           .mLogReadAt = state.mLogReadSentAt,
           .mRegion = state.mSettings.Region() };
}

std::vector<NodeId>
LiveNodes(const StepWork& aWork)
{
  const auto& state = aWork.mState;
  std::vector<NodeId> nodes;
  if (!state.mDraining) {
    nodes.push_back(state.mSettings.Node());
  }
  for (const auto& member : LiveMembers(state.mMembership, state.mSettings.Cluster(), aWork.mNow)) {
    nodes.push_back(member.Node());
  }
  return nodes;
}

} // namespace by::detail
