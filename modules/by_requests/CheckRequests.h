#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class HeldRequest;
struct RequestBook;
struct RequestContext;

/// Checks the requests that are due: finishes those past their deadline and those whose peer is
/// lost, and drops expired answers. Call it on every tick.
void
CheckRequests(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions);

/// Forwards queued requests to other nodes because this node is stopping. Requests that were
/// forwarded to this node are refused instead.
void
ForwardQueuedRequests(RequestBook& aBook,
                      const RequestContext& aContext,
                      Time aNow,
                      RequestActions& aActions);

/// Answers all remaining requests when the drain time of a planned stop has expired: "not run" for
/// those that have not started, "unknown" for the others.
void
AnswerAllRemaining(RequestBook& aBook,
                   const RequestContext& aContext,
                   Time aNow,
                   RequestActions& aActions);

/// Lists the requests of this node for a state dump.
/// @param aMaxCount maximum number of requests.
std::vector<HeldRequest>
HeldRequests(const RequestBook& aBook, Time aNow, std::size_t aMaxCount);

} // namespace by
