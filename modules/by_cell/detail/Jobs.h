#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Adds an occurrence with all tasks waiting.
OccurrenceRow&
OpenOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, Time aDue);

/// Puts the occurrences that have not come up yet on the schedule, or opens those that have.
void
OpenDueOccurrences(CellState& aState, JobRow& aJob, Time aNow);

/// Sets a step's place in the order of ready steps by what its tasks can do now.
void
RefreshStep(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);

/// Does so for all steps of an occurrence.
void
RefreshOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence);

/// Moves steps back whose job has become late.
void
UpdateUrgency(CellState& aState, Time aNow);

/// Notes that a task of a job was started.
void
MarkJobStarted(CellState& aState, JobRow& aJob);

/// Marks what follows from a task that is done: its step, its occurrence, its job.
void
UpdateCompletion(CellState& aState,
                 JobRow& aJob,
                 std::uint32_t aOccurrence,
                 std::uint32_t aStep,
                 Time aNow,
                 Effects& aOut);

/// Ends a job: its runs are stopped and its outcome is stored. The row is gone afterwards.
void
EndJob(CellState& aState, const std::string& aJob, JobState aOutcome, Time aNow, Effects& aOut);

/// Forgets a job that is not stored and never will be; none of its runs was ordered.
void
DiscardJob(CellState& aState, const std::string& aJob, Time aNow, Effects& aOut);

/// @returns whether all steps that a step follows are done.
bool
ArePredecessorsDone(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep);

} // namespace by::detail
