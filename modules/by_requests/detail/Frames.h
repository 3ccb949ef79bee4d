#pragma once

#include <utility>

#include "by_requests/RequestActions.h"
#include "by_requests/RequestContext.h"
#include "by_schema/Frame.h"
#include "by_schema/SendFrame.h"

namespace by::detail {

/// Adds an effect that the node carries out.
template<class Body>
void
AddEffect(Body aBody, RequestActions& aActions)
{
  aActions.mEffects.push_back(NodeEffect::Create({ .mBody = std::move(aBody) }).value());
}

/// Adds a frame that is sent to a peer.
template<class Body>
void
AddFrame(const RequestContext& aContext, const NodeId& aPeer, Body aBody, RequestActions& aActions)
{
  auto frame = Frame::Create({ .mFrom = aContext.mSelf, .mBody = std::move(aBody) }).value();
  AddEffect(SendFrame::Create({ .mPeer = aPeer, .mFrame = std::move(frame) }).value(), aActions);
}

} // namespace by::detail
