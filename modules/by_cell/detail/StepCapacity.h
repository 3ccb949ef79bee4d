#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_queueing/SlotForecast.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns the number of runs on a worker that belong to the same step as a task.
std::uint32_t
CountRunsOfStep(const WorkerRow& aWorker, const JobTaskKey& aTask);

/// Counts the further tasks of a step that fit on a worker, now and at a later time, from the
/// expected ends of its runs; at most as many as the step has, and as many as may
/// probe a quarantined worker.
/// @param aTask any task of the step.
/// @param aSoon the later time.
SlotForecast
ForecastSlots(const WorkerRow& aWorker,
              const JobStep& aStep,
              const JobTaskKey& aTask,
              Time aSoon,
              Time aNow);

/// Reserves a worker's free capacity for a gang until the next placement pass.
/// @param aReservation the number of the reservation, StepRow::mReservation.
/// @param aUntil when the gang is expected to start.
void
ReserveWorker(const CellState& aState, WorkerRow& aWorker, std::uint64_t aReservation, Time aUntil);

/// @returns whether a step may use a worker's free capacity although it may be reserved for another
/// gang.
/// @param aLatestStart the latest start of the step with its job still on time.
bool
MayUseCapacity(const CellState& aState,
               const WorkerRow& aWorker,
               const JobStep& aStep,
               const StepRow& aRow,
               Time aLatestStart,
               Time aNow);

} // namespace by::detail
