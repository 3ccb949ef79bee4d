#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_queueing/HostOutlook.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns the number of runs on a worker that belong to the same step as a task.
std::uint32_t
CountRunsOfStep(const WorkerRow& aWorker, const JobTaskKey& aTask);

/// Counts the further tasks of a step that a worker has room for, now and at a later time, from the
/// expected ends of its runs; at most as many as the step has.
/// @param aTask any task of the step.
/// @param aSoon the later time.
HostOutlook
OutlookOf(const WorkerRow& aWorker,
          const JobStep& aStep,
          const JobTaskKey& aTask,
          Time aSoon,
          Time aNow);

/// Holds a worker's room for a gang until the end of this placement pass.
/// @param aHold the number of the gang's hold, StepRow::mHold.
/// @param aUntil when the gang is expected to start.
void
HoldWorker(const CellState& aState, WorkerRow& aWorker, std::uint64_t aHold, Time aUntil);

/// @returns whether a step may use the room of a worker although it may be held for another gang.
/// @param aLatestStart the latest start of the step with its job still on time.
bool
MayUseRoom(const CellState& aState,
           const WorkerRow& aWorker,
           const JobStep& aStep,
           const StepRow& aRow,
           Time aLatestStart,
           Time aNow);

} // namespace by::detail
