#pragma once

#include <optional>
#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Queries advice for the steps of a new job that can start at once, while the job is being stored.
void
PrefetchAdvice(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut);

/// Queries which workers may run a step, if a node is free to send the query and there is capacity
/// for the step.
/// @param aCandidates the workers that may be given new tasks.
/// @returns false if no query would help the step, also with all nodes free.
bool
QueryAdvice(CellState& aState,
            JobRow& aJob,
            std::uint32_t aOccurrence,
            std::uint32_t aStep,
            const std::vector<WorkerRow*>& aCandidates,
            Time aNow,
            Effects& aOut);

/// @returns whether a step has no open query and its last round is old enough.
bool
MayQueryAdvice(const StepAdvice& aAdvice, Time aNow);

/// @returns the share of queried workers that the service allows for the steps of a job's queue.
double
AllowedShareOf(const CellState& aState, const JobRow& aJob);

/// Counts an answer on workers that were not known to be allowed.
void
UpdateAllowedShare(CellState& aState,
                   const JobRow& aJob,
                   std::size_t aQueried,
                   std::size_t aAllowed);

/// @returns whether a node is free to send a query.
bool
CanQueryAdvice(const CellState& aState, Time aNow);

/// Closes the query on a step that listed certain workers, so that its node is free for another.
/// @returns the query, or nothing where it was not open.
std::optional<AdviceQuery>
CloseAdviceQuery(CellState& aState, StepAdvice& aAdvice, const std::vector<std::string>& aWorkers);

/// @returns the ticket that a worker's process holds for a step, expired or not, or nullptr.
const WorkerTicket*
FindTicket(const StepAdvice& aAdvice, const WorkerRow& aWorker);

/// @returns whether a worker's process holds a ticket for a step that stays valid long enough to be
/// used.
bool
HasTicket(const StepAdvice& aAdvice, const WorkerRow& aWorker, Time aNow);

} // namespace by::detail
