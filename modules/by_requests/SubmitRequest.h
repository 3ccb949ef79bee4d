#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class Request;
struct RequestBook;
struct RequestContext;

/// Admits a caller's request: places it, forwards it, queues it, first claims its label in the log,
/// attaches it to an earlier request with the same label, or refuses it with the reason.
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

/// Applies the claims in the log: requests that hold their claim continue, the others query the
/// node that holds it.
void
ObserveClaims(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions);

} // namespace by
