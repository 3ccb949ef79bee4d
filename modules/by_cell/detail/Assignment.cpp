#include "by_cell/detail/Assignment.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_crashes/by_crashes.h"

namespace by::detail {

void
AssignTask(PlacementPass& aPass,
           JobRow& aJob,
           const JobTaskKey& aTask,
           WorkerRow& aWorker,
           std::uint32_t aRun)
{
  ChangeProgress(aPass.mState, aTask, [&](auto& aFields) {
    aFields.mPhase = JobTaskPhase::Assigned;
    aFields.mRun = aRun;
    aFields.mWorker = aWorker.mRegistration.Id();
    aFields.mWorkerProcessStart = aWorker.mProcessStart;
  });
  const RunId run{ aTask, aRun };
  auto row = MakeRunRow(StepOf(aJob, aTask.Step()), RunPhase::Planned, aPass.mNow);
  const auto& crashes = FindTask(aPass.mState, aTask)->mCrashes;
  row.mProbation = NeedsTrial(crashes) ? ProbationOf(crashes) : Time();
  AddRun(aPass.mState, aWorker, run, std::move(row));
  aPass.mState.mNextBatch.mStarts.emplace_back(aWorker.mRegistration.Id(), run);
  ++aPass.mPlaced;
  Log(aPass.mOut,
      "task.placed",
      FormatRunId(run),
      absl::StrCat("worker=",
                   aWorker.mRegistration.Id(),
                   " age_ms=",
                   (aPass.mNow - aJob.mJob.Accepted()).Milliseconds(),
                   " free_cpu=",
                   FreeCapacity(aWorker).CpuMillis(),
                   " slowness_percent=",
                   std::llround(aWorker.mSlowness * 100)));
}

void
AssignGang(PlacementPass& aPass,
           JobRow& aJob,
           const ReadyKey& aKey,
           const std::vector<WorkerRow*>& aHosts)
{
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto first = occurrence.mSteps[aKey.mStep].mFirst;
  std::uint32_t run = 0;
  for (std::uint32_t i = 0; i < aHosts.size(); ++i) {
    run = std::max(run, occurrence.mTasks[first + i].mProgress.Run());
  }
  for (std::uint32_t i = 0; i < aHosts.size(); ++i) {
    AssignTask(aPass, aJob, TaskOf(aKey, i), *aHosts[i], run + 1);
  }
}

} // namespace by::detail
