#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/JobStep.h"
#include "by_schema/RunEnd.h"

namespace by::detail {

/// Updates a worker's slowness with the duration of a run that was done.
void
UpdateSlowness(WorkerRow& aWorker, const RunRow& aRun, Time aNow);

/// @returns whether a quarantined worker has a run that began after its quarantine.
bool
IsProbed(const WorkerRow& aWorker);

/// @returns how many tasks of a step may probe a worker, if it is quarantined, at the same time.
/// The members of a gang end together, so that they are one probe.
std::uint32_t
ProbeLimit(const WorkerRow& aWorker, const JobStep& aStep);

/// Ends the quarantine of a worker whose probe is a long-running task at work.
/// @returns whether it has ended.
bool
EndQuarantineIfProven(WorkerRow& aWorker, Time aNow, Effects& aOut);

/// Counts consecutive failed runs of a worker, and quarantines the worker at the limit. The members
/// of one run of a gang count once.
/// @param aRun the run that has ended, which still has its row.
void
UpdateFailures(const CellState& aState,
               WorkerRow& aWorker,
               const RunId& aRun,
               RunEnd aEnd,
               Time aNow,
               Effects& aOut);

/// Takes back the failures that a gang's run has counted against its workers, if there are several:
/// a faulty worker fails the members that it runs, and the others end as broken.
/// @param aRun a run of which all members have failed.
/// @param aWorkers the workers that reported them.
void
WithdrawFailures(CellState& aState,
                 const RunId& aRun,
                 const std::set<std::string>& aWorkers,
                 Effects& aOut);

} // namespace by::detail
