#pragma once

/// Module by_admission
///
/// Purpose: learned run times, the lanes they lead to, and the bounded queues that work waits in.
/// Dependencies: by_core, by_schema, by_placement.

#include "by_admission/QueueOrder.h"
#include "by_admission/RunEstimateTable.h"
#include "by_admission/RunEstimates.h"
#include "by_admission/WorkQueue.h"
