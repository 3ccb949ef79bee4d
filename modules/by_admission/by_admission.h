#pragma once

/// Module by_admission
///
/// Purpose: run-time and usage estimates, and the bounded queues in which work waits.
/// Dependencies: by_core, by_schema, by_placement.

#include "by_admission/QueueOrder.h"
#include "by_admission/RunEstimateTable.h"
#include "by_admission/RunEstimates.h"
#include "by_admission/WorkQueue.h"
