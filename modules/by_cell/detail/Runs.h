#pragma once

#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_cell/RunId.h"
#include "by_schema/RunEnd.h"

namespace by::detail {

/// Takes room on a worker for a run.
RunRow&
AddRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun, RunRow aRow);

/// Takes note that a worker has begun a run.
void
ConfirmRun(CellState& aState, const RunId& aRun, RunRow& aRow, Time aNow);

/// Frees the room of a run; the run is over for certain, or was never ordered.
void
RemoveRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun);

/// Takes note of how a run ended and what follows for its task.
/// @param aCheckpoint its newest checkpoint; empty keeps the one that is known.
void
EndRun(CellState& aState,
       WorkerRow& aWorker,
       const RunId& aRun,
       RunEnd aEnd,
       const std::string& aCheckpoint,
       Time aNow,
       Effects& aOut);

/// Ends every run on a worker, whose process is over or whose lease has passed.
void
EndAllRuns(CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut);

/// Has a run stopped: at once where it was not ordered, else by an order.
void
RequestStop(CellState& aState,
            const std::string& aWorker,
            const RunId& aRun,
            Time aNow,
            Effects& aOut);

/// Sends the start of a run whose assignment is stored.
void
SendStart(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut);

/// Sends the stop of a run.
void
SendStop(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut);

/// Puts a task back to the tasks that wait, with the other members of its gang.
void
Requeue(CellState& aState, const JobTaskKey& aTask, Time aNow, Effects& aOut);

/// @returns until when a worker's lease may be renewed now, on its clock.
Time
NextLeaseEnd(const CellState& aState, const WorkerRow& aWorker, Time aNow);

/// Has a worker looked at no later than a time.
void
SchedulePoll(CellState& aState, WorkerRow& aWorker, Time aTime);

} // namespace by::detail
