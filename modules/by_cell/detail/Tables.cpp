#include "by_cell/detail/Tables.h"

#include "by_placement/ResourceMath.h"

namespace by::detail {

JobRow*
FindJob(CellState& aState, const std::string& aJob)
{
  const auto it = aState.mJobs.find(aJob);
  return it == aState.mJobs.end() ? nullptr : &it->second;
}

OccurrenceRow*
FindOccurrence(CellState& aState, const std::string& aJob, std::uint32_t aOccurrence)
{
  auto* job = FindJob(aState, aJob);
  if (job == nullptr) {
    return nullptr;
  }
  const auto it = job->mOccurrences.find(aOccurrence);
  return it == job->mOccurrences.end() ? nullptr : &it->second;
}

TaskRow*
FindTask(CellState& aState, const JobTaskKey& aTask)
{
  auto* occurrence = FindOccurrence(aState, aTask.Job(), aTask.Occurrence());
  if (occurrence == nullptr || aTask.Step() >= occurrence->mSteps.size()) {
    return nullptr;
  }
  const auto& step = occurrence->mSteps[aTask.Step()];
  if (aTask.Index() >= step.mCount) {
    return nullptr;
  }
  return &occurrence->mTasks[step.mFirst + aTask.Index()];
}

const JobStep&
StepOf(const JobRow& aJob, std::uint32_t aStep)
{
  return aJob.mJob.Definition().Steps()[aStep];
}

const QueuePolicy&
PolicyOf(const CellState& aState, const JobRow& aJob)
{
  const auto& accepted = aJob.mJob.Queue();
  for (const auto& queue : aState.mConfig.Queues()) {
    if (queue.Host() == accepted.Host() && queue.PathPrefix() == accepted.PathPrefix()) {
      return queue;
    }
  }
  return accepted;
}

Resources
FreeCapacity(const WorkerRow& aWorker)
{
  return aWorker.mUnknownRuns > 0 ? Resources()
                                  : Minus(aWorker.mRegistration.Capacity(), aWorker.mUsed);
}

bool
IsOverCapacity(const WorkerRow& aWorker)
{
  return aWorker.mUnknownRuns > 0 || !Fits(aWorker.mUsed, aWorker.mRegistration.Capacity());
}

Resources
EffectiveDemand(const JobStep& aStep)
{
  return aStep.Scavenging() ? aStep.Demand().WithCpuMillis(0) : aStep.Demand();
}

RunRow
MakeRunRow(const JobStep& aStep, RunPhase aPhase, Time aNow)
{
  RunRow row;
  row.mPhase = aPhase;
  row.mDemand = EffectiveDemand(aStep);
  row.mIsScavenging = aStep.Scavenging();
  row.mIsLatencySensitive = aStep.TailTarget() > Time();
  row.mIsLongRunning = aStep.LongRunning();
  row.mIsGangMember = aStep.Gang();
  row.mPhaseSince = aNow;
  row.mEstimate = aStep.Estimate();
  return row;
}

} // namespace by::detail
