#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_requests/RequestActions.h"

namespace by {

class HeldRequest;
struct RequestBook;
struct RequestContext;

/// Looks at the requests that are due: refuses those past their time, and finds those whose peer is
/// dead. To be called on each tick.
void
CheckRequests(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions);

/// Hands queued requests to other nodes, since this one is stopping.
void
ForwardQueuedRequests(RequestBook& aBook,
                      const RequestContext& aContext,
                      Time aNow,
                      RequestActions& aActions);

/// Answers everything that is left when the bound of a planned stop has passed: what has not
/// started as "not run", the rest as "unknown".
void
AnswerAllRemaining(RequestBook& aBook,
                   const RequestContext& aContext,
                   Time aNow,
                   RequestActions& aActions);

/// Lists requests for a dump.
/// @param aMaxCount how many at most.
std::vector<HeldRequest>
HeldRequests(const RequestBook& aBook, Time aNow, std::size_t aMaxCount);

} // namespace by
