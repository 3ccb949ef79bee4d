#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Asks for advice on the steps of a new job that can begin at once, beside the storing of the job.
void
AskForFirstSteps(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut);

/// Asks which workers may run a step, unless a question is open or was asked just before.
void
AskForStep(CellState& aState,
           JobRow& aJob,
           std::uint32_t aOccurrence,
           std::uint32_t aStep,
           Time aNow,
           Effects& aOut);

/// @returns whether a worker holds a ticket of a step that is valid for long enough to use it.
bool
HasTicket(const StepAdvice& aAdvice, const std::string& aWorker, Time aNow);

} // namespace by::detail
