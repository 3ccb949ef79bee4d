#pragma once

#include <cstdint>

#include "by_cell/CellState.h"
#include "by_cell/RunId.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns the job's row, or nullptr where the job has ended or is unknown.
JobRow*
FindJob(CellState& aState, const std::string& aJob);

/// @returns the occurrence's row, or nullptr where it is not open.
OccurrenceRow*
FindOccurrence(CellState& aState, const std::string& aJob, std::uint32_t aOccurrence);

/// @returns the task's row, or nullptr where its occurrence is not open.
TaskRow*
FindTask(CellState& aState, const JobTaskKey& aTask);

/// @returns the step's definition; the job must be known.
const JobStep&
StepOf(const JobRow& aJob, std::uint32_t aStep);

/// @returns the queue's policy in the current configuration, or the one the job was accepted with.
const QueuePolicy&
PolicyOf(const CellState& aState, const JobRow& aJob);

/// @returns a worker's free capacity; none while a run of unknown demand is there. Negative where
/// the worker has shrunk below what its runs hold.
Resources
FreeCapacity(const WorkerRow& aWorker);

/// @returns whether the runs of a worker hold, or may hold, more than its capacity, which may have
/// shrunk.
bool
IsOverCapacity(const WorkerRow& aWorker);

/// @returns the resources that a task of a step reserves; a scavenging task reserves no processor
/// time.
Resources
EffectiveDemand(const JobStep& aStep);

/// @returns a row for a run of a step, with the resources that it reserves.
RunRow
MakeRunRow(const JobStep& aStep, RunPhase aPhase, Time aNow);

/// Changes fields of a task's progress; the next append records the change.
template<class Change>
void
ChangeProgress(CellState& aState, const JobTaskKey& aTask, Change aChange)
{
  auto& progress = FindTask(aState, aTask)->mProgress;
  auto fields = progress.ToFields();
  aChange(fields);
  auto changed = TaskProgress::Create(std::move(fields)).value();
  if (changed != progress) {
    progress = std::move(changed);
    aState.mNewProgress.insert(aTask);
  }
}

} // namespace by::detail
