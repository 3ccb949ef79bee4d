#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class Request;
struct RequestBook;
struct RequestContext;

/// Admits a caller's request: places, forwards or queues it, or refuses it with the reason. A
/// non-idempotent request first claims its label in the log, or is attached to an earlier request
/// with the same label.
void
SubmitRequest(RequestBook& aBook,
              const RequestContext& aContext,
              const Request& aRequest,
              Time aNow,
              RequestActions& aActions);

/// Marks a request's caller as gone. Work that has not started is cancelled, unless repeated
/// requests wait for its answer.
void
ObserveCallerGone(RequestBook& aBook,
                  const RequestContext& aContext,
                  const RequestId& aRequest,
                  Time aNow,
                  RequestActions& aActions);

/// Applies the claims in the log: requests that hold their claim continue, requests whose label is
/// claimed by another query the node that holds it, and claims that are no longer needed are
/// released.
void
ObserveClaims(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions);

} // namespace by
