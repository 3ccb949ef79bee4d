#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// @returns whether a task waits for a worker.
bool
CanBePlaced(const TaskRow& aTask);

/// Adds an occurrence with all tasks waiting to be placed.
OccurrenceRow&
OpenOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, Time aDue);

/// Opens the occurrences that are due, and schedules the next one.
void
OpenDueOccurrences(CellState& aState, JobRow& aJob, Time aNow);

/// Opens the occurrences of a job up to one that an earlier owner has opened; its clock may have
/// been ahead.
void
OpenOccurrencesThrough(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence);

/// Updates the key of a step among the ready steps, or removes the step, according to the state of
/// its tasks.
void
RefreshStep(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);

/// Calls RefreshStep() for all steps of an occurrence.
void
RefreshOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence);

/// Updates the urgency of ready steps; a late job moves back in the scheduling order.
void
UpdateUrgency(CellState& aState, Time aNow);

/// Marks that a task of the job has started, and updates the count of unstarted jobs.
void
MarkJobStarted(CellState& aState, JobRow& aJob);

/// Marks the step, its occurrence and the job as done once all of their tasks are.
void
UpdateCompletion(CellState& aState,
                 JobRow& aJob,
                 std::uint32_t aOccurrence,
                 std::uint32_t aStep,
                 Time aNow,
                 Effects& aOut);

/// Ends a job: stops its runs and queues its outcome for the store. The job's row is invalid
/// afterwards.
void
EndJob(CellState& aState, const std::string& aJob, JobState aOutcome, Time aNow, Effects& aOut);

/// Removes a job that is not stored and never will be; none of its runs was ordered.
void
DiscardJob(CellState& aState, const std::string& aJob, Time aNow, Effects& aOut);

/// @returns whether all steps that must precede a step are done.
bool
ArePredecessorsDone(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep);

} // namespace by::detail
