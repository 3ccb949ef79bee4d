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

/// @returns the request as a work item for the scheduler.
WorkItem
WorkItemOf(const RequestRow& aRow);

/// Routes a request: to a VM of this node with free capacity, to another node with free capacity,
/// or to the queue of this node. A node without VMs forwards it to the least loaded node if no node
/// has free capacity.
void
Route(RequestBook& aBook,
      const RequestContext& aContext,
      const RequestRow& aRow,
      Time aNow,
      RequestActions& aActions);

/// Routes a request again, under the next attempt number, when its task is certainly not running.
/// The peer that it was forwarded to is not tried again.
void
Reroute(RequestBook& aBook,
        const RequestContext& aContext,
        const RequestRow& aRow,
        Time aNow,
        RequestActions& aActions);

/// Takes one retry from the retry budget.
/// @returns whether the budget allowed it.
bool
SpendRetry(RequestBook& aBook);

} // namespace detail
} // namespace by
