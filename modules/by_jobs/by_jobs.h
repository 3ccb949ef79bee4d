#pragma once

/// Module by_jobs
///
/// Purpose: values derived from a job's definition alone: the order of its tasks, its critical
/// paths, and the keys of its records.
/// Dependencies: by_core, by_schema.

#include "by_jobs/CriticalPaths.h"
#include "by_jobs/RecordKeys.h"
#include "by_jobs/TaskOrder.h"
