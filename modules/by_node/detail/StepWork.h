#pragma once

#include <string>
#include <utility>
#include <vector>

#include "by_core/Time.h"
#include "by_node/NodeState.h"
#include "by_requests/RequestContext.h"
#include "by_schema/NodeEffect.h"
#include "by_schema/NodePart.h"
#include "by_schema/Note.h"

namespace by::detail {

/// A step in progress: the state that it changes and the effects that it collects.
struct StepWork
{
  /// The node's state, which the step changes.
  NodeState& mState;
  /// The time of the step.
  Time mNow;
  /// The effects collected so far.
  std::vector<NodeEffect> mEffects;
};

/// Adds an effect to the step.
template<class Body>
void
Emit(StepWork& aWork, Body aBody)
{
  aWork.mEffects.push_back(NodeEffect::Create({ .mBody = std::move(aBody) }).value());
}

/// Adds a line to the log output of the process, not to the replicated log.
inline void
EmitNote(StepWork& aWork, NodePart aPart, std::string aText)
{
  Emit(aWork, Note::Create({ .mPart = aPart, .mText = std::move(aText) }).value());
}

/// @returns whether the node has caught up with the log, and the last read succeeded recently.
bool
IsLogFresh(const StepWork& aWork);

/// @returns whether the node accepts new requests.
bool
IsReady(const NodeState& aState);

/// @returns the input for the request module.
RequestContext
RequestContextOf(StepWork& aWork);

/// @returns the input for the ownership module.
OwnershipContext
OwnershipContextOf(const StepWork& aWork);

/// @returns the names of the live members, and of this node unless it is draining.
std::vector<NodeId>
LiveNodes(const StepWork& aWork);

} // namespace by::detail
