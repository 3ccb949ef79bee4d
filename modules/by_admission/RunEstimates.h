#pragma once

#include "by_admission/KindKey.h"
#include "by_admission/RunEstimateTable.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkItem.h"

namespace by {

/// The run time that a task is expected to have.
using RunTimeEstimator = Time (*)(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns the learned mean, or the declared length until enough ends were seen.
Time
LearnedRunTime(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns what the task declares; the baseline that learning is measured against.
Time
DeclaredLength(const RunEstimateTable& aTable, const WorkItem& aItem);

/// @returns how long a task may run before it counts as a straggler of its kind.
Time
StragglerAfter(const RunEstimateTable& aTable, const WorkItem& aItem, Time aShortLimit);

/// Learns from a task that ended well.
/// @param aRan how long it ran.
void
UpdateRunTime(RunEstimateTable& aTable, const KindKey& aKind, Time aRan);

/// Learns whether a run of this kind failed.
void
UpdateFailureRate(RunEstimateTable& aTable, const KindKey& aKind, bool aFailed);

/// @returns whether most late runs of this kind failed, so that a failure says nothing of a VM.
bool
FailsEverywhere(const RunEstimateTable& aTable, const KindKey& aKind);

/// Learns from lagged usage what the kind takes against what it declares.
void
UpdateUsage(RunEstimateTable& aTable,
            const KindKey& aKind,
            const Resources& aDeclared,
            const Resources& aUsed);

/// @returns what a task will take by what its kind was seen to use; never less than it declares.
Resources
CorrectedDemand(const RunEstimateTable& aTable, const WorkItem& aItem);

} // namespace by
