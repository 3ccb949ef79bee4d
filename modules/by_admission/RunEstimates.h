#pragma once

#include "by_admission/KindKey.h"
#include "by_admission/RunEstimateTable.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Estimates the run time of a task.
using RunTimeEstimator = Time (*)(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns the mean observed run time, or the declared one until enough runs were observed.
Time
LearnedRunTime(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns the declared run time. This is the baseline for LearnedRunTime().
Time
DeclaredLength(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns the run time after which a task counts as a straggler of its kind; at least
/// aShortLimit.
Time
StragglerAfter(const RunEstimateTable& aTable, const WorkItem& aItem, Time aShortLimit);

/// Updates the run-time estimates of a kind of work from a successful task.
/// @param aRan the run time of the task.
void
UpdateRunTime(RunEstimateTable& aTable, const KindKey& aKind, Time aRan);

/// Updates the failure rate of a kind of work.
void
UpdateFailureRate(RunEstimateTable& aTable, const KindKey& aKind, bool aFailed);

/// @returns whether most recent runs of this kind failed, so that a failure does not indicate a
/// faulty VM.
bool
FailsEverywhere(const RunEstimateTable& aTable, const KindKey& aKind);

/// Updates the ratio of used to declared resources of a kind of work: the larger of the ratios for
/// processors and memory, at least 1. Usage reports lag behind the actual usage.
void
UpdateUsage(RunEstimateTable& aTable,
            const KindKey& aKind,
            const Resources& aDeclared,
            const Resources& aUsed);

/// @returns the demand of a task, with processors and memory raised by the observed usage of its
/// kind of work; never less than declared.
Resources
CorrectedDemand(const RunEstimateTable& aTable, const WorkItem& aItem);

} // namespace by
