#pragma once

#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// @returns the runs that may have been active on a worker when it was last heard of.
std::vector<LostRun>
ActiveRuns(CellState& aState, const WorkerRow& aWorker);

/// @returns whether a run whose lease has expired may have crashed its worker.
bool
MayHaveCrashedUnseen(const WorkerRow& aWorker, const LostRun& aRun);

/// Handles the end of a worker's process that was not announced. A process that drained or was
/// evacuated has not crashed.
/// @param aReason what shows that the process has ended.
void
RecordCrash(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut);

/// Ends the probation of a run that its worker still reports, once it is over.
void
EndProbationIfOver(CellState& aState,
                   WorkerRow& aWorker,
                   const RunId& aRun,
                   RunRow& aRow,
                   Time aNow,
                   Effects& aOut);

/// @returns whether a crash of the worker could be the doing of a run that has just begun.
bool
HasRunOnProbation(const WorkerRow& aWorker);

/// Records the crash of workers whose machine runs a new worker.
void
RecordReplacedWorkers(CellState& aState,
                      const WorkerRegistration& aEntry,
                      Time aNow,
                      Effects& aOut);

/// Records the crash of a worker whose lease has expired, if its machine runs a newer worker
/// already.
void
RecordIfReplaced(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut);

/// Decides what recent crashes say of the tasks that ran on the workers: nothing where a rack or a
/// pool was lost as a whole. Ends the jobs of tasks that crash their workers.
void
SettleCrashes(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
