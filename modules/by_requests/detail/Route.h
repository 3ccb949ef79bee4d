#pragma once

#include <cstdint>
#include <string>

#include "by_core/Time.h"
#include "by_requests/RequestActions.h"
#include "by_schema/RequestRow.h"

namespace by {

class WorkItem;
struct RequestBook;
struct RequestContext;

namespace detail {

/// @returns what the scheduler is asked for.
WorkItem
WorkItemOf(const RequestRow& aRow);

/// Sends a request on its way: to a VM here that has room now, to the node with most room, or into
/// the queue here; a node without VMs hands it to the one that is least busy.
void
Route(RequestBook& aBook,
      const RequestContext& aContext,
      const RequestRow& aRow,
      Time aNow,
      RequestActions& aActions);

/// Sends a request on its way once more under the next attempt. Its work certainly does not run.
/// @param aPeer whether the node that it came back from is not asked again.
void
Reroute(RequestBook& aBook,
        const RequestContext& aContext,
        const RequestRow& aRow,
        Time aNow,
        RequestActions& aActions);

/// Takes one retry from the budget.
/// @returns whether there was one.
bool
SpendRetry(RequestBook& aBook);

} // namespace detail
} // namespace by
