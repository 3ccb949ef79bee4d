#pragma once

#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class AnswerQuery;
class ForwardedAnswer;
class ForwardedCancel;
class ForwardedRequest;
class PeerUnreachable;
struct RequestBook;
struct RequestContext;

/// Handles a request that a peer forwarded. A repeat of a request that is held or was answered is
/// not run again.
void
ObserveForwarded(RequestBook& aBook,
                 const RequestContext& aContext,
                 const ForwardedRequest& aForwarded,
                 Time aNow,
                 RequestActions& aActions);

/// Handles a peer's answer to a forwarded request or to a query. A late answer is dropped.
void
ObserveForwardedAnswer(RequestBook& aBook,
                       const RequestContext& aContext,
                       const NodeId& aFrom,
                       const ForwardedAnswer& aAnswer,
                       Time aNow,
                       RequestActions& aActions);

/// Handles a peer's cancellation of a forwarded request. A request that is running continues; a
/// request that has not arrived is refused if it arrives later.
void
ObserveForwardedCancel(RequestBook& aBook,
                       const RequestContext& aContext,
                       const NodeId& aFrom,
                       const ForwardedCancel& aCancel,
                       Time aNow,
                       RequestActions& aActions);

/// Handles a peer's query for the answer to a label that this node claimed.
void
ObserveAnswerQuery(RequestBook& aBook,
                   const RequestContext& aContext,
                   const AnswerQuery& aQuery,
                   RequestActions& aActions);

/// Reroutes the requests whose frames could not be sent to a peer.
void
ObservePeerUnreachable(RequestBook& aBook,
                       const RequestContext& aContext,
                       const PeerUnreachable& aUnreachable,
                       Time aNow,
                       RequestActions& aActions);

} // namespace by
