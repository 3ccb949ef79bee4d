#pragma once

#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Asks for advice on the steps of a new job that can begin at once, beside the storing of the job.
void
PrefetchAdvice(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut);

/// Asks which workers may run a step, if a node is free to ask and there is room for the step.
/// @param aCandidates the workers that may be given new tasks.
void
QueryAdvice(CellState& aState,
            JobRow& aJob,
            std::uint32_t aOccurrence,
            std::uint32_t aStep,
            const std::vector<WorkerRow*>& aCandidates,
            Time aNow,
            Effects& aOut);

/// @returns whether a node is free to ask a question.
bool
CanQueryAdvice(const CellState& aState, Time aNow);

/// Takes note that the question on a step is answered, so that its node is free for another.
void
CloseAdviceQuery(CellState& aState, StepAdvice& aAdvice);

/// @returns whether a worker holds a ticket of a step that is valid for long enough to use it.
bool
HasTicket(const StepAdvice& aAdvice, const std::string& aWorker, Time aNow);

} // namespace by::detail
