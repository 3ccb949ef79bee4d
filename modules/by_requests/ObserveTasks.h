#pragma once

#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class PlacedWork;
class RefusedWork;
class TaskResult;
class TaskUnanswered;
struct RequestBook;
struct RequestContext;

/// Sends the start of a request that the scheduler placed on a VM.
void
ObservePlacedRequest(RequestBook& aBook,
                     const RequestContext& aContext,
                     const PlacedWork& aPlaced,
                     Time aNow,
                     RequestActions& aActions);

/// Finishes a request that the scheduler refused.
void
ObserveRefusedRequest(RequestBook& aBook,
                      const RequestContext& aContext,
                      const RefusedWork& aRefused,
                      Time aNow,
                      RequestActions& aActions);

/// Handles a backend server's result. A result of another attempt, or from another VM, is dropped.
void
ObserveRequestResult(RequestBook& aBook,
                     const RequestContext& aContext,
                     const VmId& aVm,
                     const TaskResult& aResult,
                     Time aNow,
                     RequestActions& aActions);

/// Handles a start that a backend server did not answer.
void
ObserveRequestUnanswered(RequestBook& aBook,
                         const RequestContext& aContext,
                         const TaskUnanswered& aUnanswered,
                         Time aNow,
                         RequestActions& aActions);

/// Finishes or retries the requests on a VM whose tasks have all certainly ended without a result.
void
ObserveRequestsLostOn(RequestBook& aBook,
                      const RequestContext& aContext,
                      const VmId& aVm,
                      Time aNow,
                      RequestActions& aActions);

} // namespace by
