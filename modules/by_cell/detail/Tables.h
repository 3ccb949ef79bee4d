#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_cell/RunId.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns the job's row, or nullptr where it has ended or is unknown.
JobRow*
FindJob(CellState& aState, const std::string& aJob);

/// @returns the occurrence's row, or nullptr.
OccurrenceRow*
FindOccurrence(CellState& aState, const std::string& aJob, std::uint32_t aOccurrence);

/// @returns the task's row, or nullptr.
TaskRow*
FindTask(CellState& aState, const JobTaskKey& aTask);

/// @returns the step's definition; the job must be known.
const JobStep&
StepOf(const JobRow& aJob, std::uint32_t aStep);

/// @returns the queue's policy as the configuration in force has it, or as the job was accepted.
const QueuePolicy&
PolicyOf(const CellState& aState, const JobRow& aJob);

/// @returns what is free on a worker.
Resources
FreeCapacity(const WorkerRow& aWorker);

/// @returns the room that a task of a step takes; one that scavenges takes no processor time.
Resources
EffectiveDemand(const JobStep& aStep);

/// @returns a row for a run of a step, with the room that it takes.
RunRow
MakeRunRow(const JobStep& aStep, RunPhase aPhase, Time aNow);

/// Changes fields of a task's progress.
template<class Change>
void
ChangeProgress(TaskRow& aTask, Change aChange)
{
  auto fields = aTask.mProgress.ToFields();
  aChange(fields);
  aTask.mProgress = TaskProgress::Create(std::move(fields)).value();
}

} // namespace by::detail
