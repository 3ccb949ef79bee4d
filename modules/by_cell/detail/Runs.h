#pragma once

#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_cell/RunId.h"
#include "by_schema/RunEnd.h"

namespace by::detail {

/// Adds a run to a worker and reserves its resources there.
/// @returns the run's row.
RunRow&
AddRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun, RunRow aRow);

/// Marks a run as confirmed by its worker, and its job as started.
void
ConfirmRun(CellState& aState, const RunId& aRun, RunRow& aRow, Time aNow);

/// Removes a run and releases its resources; the run has ended for certain or was never ordered.
void
RemoveRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun);

/// Applies the end of a run to its worker and its task.
/// @param aCheckpoint its newest checkpoint; empty keeps the known one.
void
EndRun(CellState& aState,
       WorkerRow& aWorker,
       const RunId& aRun,
       RunEnd aEnd,
       const std::string& aCheckpoint,
       Time aNow,
       Effects& aOut);

/// Ends all runs of a worker whose process has ended or whose lease has expired.
void
EndAllRuns(CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut);

/// Stops a run: removes it where no start was sent, else orders the worker to stop it. The stop of
/// an inherited run is sent once the worker reports the run.
void
RequestStop(CellState& aState,
            const std::string& aWorker,
            const RunId& aRun,
            Time aNow,
            Effects& aOut);

/// Sends the start order of a run whose assignment is stored.
void
SendStart(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut);

/// Sends the stop order of a run.
void
SendStop(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut);

/// Requeues an assigned task, with the other members of its gang, and stops its run.
void
Requeue(CellState& aState, const JobTaskKey& aTask, Time aNow, Effects& aOut);

/// @returns whether this owner was confirmed recently enough to grant leases. A successor counts on
/// leases that end in time after the confirmation.
bool
MayGrantLeases(const CellState& aState, Time aNow);

/// @returns the end of a lease that is granted now, on the worker's clock.
Time
NextLeaseEnd(const CellState& aState, const WorkerRow& aWorker, Time aNow);

/// Schedules the next poll of a worker no later than a time.
void
SchedulePoll(CellState& aState, WorkerRow& aWorker, Time aTime);

} // namespace by::detail
