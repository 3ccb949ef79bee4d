#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Marks the crashes of a task to be stored with the next append.
void
MarkCrashesChanged(CellState& aState, const JobTaskKey& aTask, TaskRow& aRow);

/// Places the steps of a task whose crashes have changed in the ready queue anew.
void
RefreshSuspects(CellState& aState, const JobTaskKey& aTask, const TaskRow& aRow);

/// Adds a crash to the history of a task, where it still matters.
void
AddToHistory(CellState& aState, RunInCrash& aRun, Time aNow);

/// Remembers that a run may have crashed its worker unseen, where that still matters.
void
AddLapse(CellState& aState, const RunId& aRun);

/// Counts a trial that ended with its gang, before its probation was over, as a lapse, where the
/// task may have crashed so many workers that few starts are left.
void
AddBrokenTrial(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, Time aNow);

/// Forgets it for a run whose worker reports its end.
void
DropLapse(CellState& aState, const RunId& aRun);

/// Weighs a crash as evidence against the tasks that ran on the worker, by what the other workers
/// of its pool did.
void
Weigh(CellState& aState, const WorkerCrash& aCrash, Effects& aOut);

/// Clears the task of a run that its worker still reports of crashes at a younger age.
void
NoteSurvival(CellState& aState,
             const WorkerRow& aWorker,
             const RunId& aRun,
             const RunRow& aRow,
             Effects& aOut);

/// Ends the job of a task that is known to crash its workers.
void
GiveUpIfHopeless(CellState& aState, const JobTaskKey& aTask, Time aNow, Effects& aOut);

/// Ends the jobs of restored tasks that are known to crash their workers.
void
EndHopelessJobs(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
