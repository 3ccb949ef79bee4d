#pragma once

/// Module by_requests
///
/// Purpose: processes each caller's request from admission to its single answer, with at most one
/// hop.
/// Dependencies: by_log_state, by_membership, by_ownership, by_scheduling.

#include "by_requests/CheckRequests.h"
#include "by_requests/ObservePeers.h"
#include "by_requests/ObserveTasks.h"
#include "by_requests/RequestActions.h"
#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/SubmitRequest.h"
