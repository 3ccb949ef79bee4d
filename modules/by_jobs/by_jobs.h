#pragma once

/// Module by_jobs
///
/// Purpose: what follows from a job's definition alone: the order of its tasks, its longest chain
/// of work, and the keys of its records.
/// Dependencies: by_core, by_schema.

#include "by_jobs/CriticalPaths.h"
#include "by_jobs/RecordKeys.h"
#include "by_jobs/TaskOrder.h"
