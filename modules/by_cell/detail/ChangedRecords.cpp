#include "by_cell/detail/ChangedRecords.h"

#include <utility>
#include <vector>

#include "by_cell/detail/Tables.h"
#include "by_crashes/by_crashes.h"
#include "by_jobs/by_jobs.h"

namespace by::detail {

namespace {

KeyedRecord
MakeKeyedRecord(std::string aKey, CellRecord aRecord)
{
  return KeyedRecord::Create({ .mKey = std::move(aKey), .mRecord = std::move(aRecord) }).value();
}

template<class Body>
CellRecord
MakeCellRecord(Body aBody)
{
  return CellRecord::Create({ .mBody = std::move(aBody) }).value();
}

/// @returns the progress as it is recorded; where a done task ran no longer matters.
TaskProgress
MakeRecordedProgress(const TaskProgress& aProgress)
{
  if (aProgress.Phase() != JobTaskPhase::Done) {
    return aProgress;
  }
  return TaskProgress::Create({ .mPhase = aProgress.Phase(),
                                .mRun = aProgress.Run(),
                                .mFailedRuns = aProgress.FailedRuns() })
    .value();
}

void
AddJobRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& id : aState.mNewJobs) {
    if (const auto* job = FindJob(aState, id)) {
      // A batch may be split, and a job must not be known without its team.
      if (!job->mTeam.IsEmpty()) {
        aBatch.mRecords.push_back(MakeKeyedRecord(
          TeamRecordKey(id),
          MakeCellRecord(JobTeam::Create({ .mJob = id, .mTeam = job->mTeam }).value())));
      }
      aBatch.mRecords.push_back(MakeKeyedRecord(JobRecordKey(id), MakeCellRecord(job->mJob)));
      aBatch.mJobs.push_back(id);
    }
  }
  aState.mNewJobs.clear();
}

void
AddProgressRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& key : aState.mNewProgress) {
    auto* occurrence = FindOccurrence(aState, key.Job(), key.Occurrence());
    if (occurrence == nullptr) {
      continue;
    }
    const auto index = occurrence->mSteps[key.Step()].mFirst + key.Index();
    auto& task = occurrence->mTasks[index];
    task.mRecorded = true;
    auto record = TaskRecord::Create({ .mJob = key.Job(),
                                       .mOccurrence = key.Occurrence(),
                                       .mIndex = index,
                                       .mProgress = MakeRecordedProgress(task.mProgress) })
                    .value();
    aBatch.mRecords.push_back(MakeKeyedRecord(TaskRecordKey(key.Job(), key.Occurrence(), index),
                                              MakeCellRecord(std::move(record))));
  }
  aState.mNewProgress.clear();
}

void
AddCrashRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& key : aState.mNewCrashes) {
    const auto* occurrence = FindOccurrence(aState, key.Job(), key.Occurrence());
    if (occurrence == nullptr) {
      continue;
    }
    const auto index = occurrence->mSteps[key.Step()].mFirst + key.Index();
    const auto& crashes = occurrence->mTasks[index].mCrashes;
    std::vector<std::uint32_t> runs;
    for (const auto& run : crashes.mRuns) {
      if (run.mIsSuspect || run.mBlame > 0) {
        runs.push_back(run.mRun);
      }
    }
    auto record = TaskCrashes::Create({ .mJob = key.Job(),
                                        .mOccurrence = key.Occurrence(),
                                        .mIndex = index,
                                        .mRuns = std::move(runs),
                                        .mBlame = BlameOf(crashes),
                                        .mLastCrash = crashes.mLastCrash })
                    .value();
    aBatch.mRecords.push_back(MakeKeyedRecord(CrashRecordKey(key.Job(), key.Occurrence(), index),
                                              MakeCellRecord(std::move(record))));
  }
  aState.mNewCrashes.clear();
}

void
AddLapseRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& key : aState.mNewLapses) {
    const auto* occurrence = FindOccurrence(aState, key.Job(), key.Occurrence());
    if (occurrence == nullptr) {
      continue;
    }
    const auto index = occurrence->mSteps[key.Step()].mFirst + key.Index();
    auto record = TaskLapses::Create({ .mJob = key.Job(),
                                       .mOccurrence = key.Occurrence(),
                                       .mIndex = index,
                                       .mRuns = occurrence->mTasks[index].mCrashes.mLapsed })
                    .value();
    aBatch.mRecords.push_back(MakeKeyedRecord(LapseRecordKey(key.Job(), key.Occurrence(), index),
                                              MakeCellRecord(std::move(record))));
  }
  aState.mNewLapses.clear();
}

void
AddOutcomeRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& id : aState.mNewOutcomes) {
    const auto it = aState.mOutcomes.find(id);
    if (it != aState.mOutcomes.end()) {
      aBatch.mRecords.push_back(MakeKeyedRecord(
        OutcomeRecordKey(id),
        MakeCellRecord(JobOutcome::Create(
                         { .mJob = id, .mState = it->second.mState, .mEnded = it->second.mEnded })
                         .value())));
      aBatch.mOutcomes.push_back(id);
    }
  }
  aState.mNewOutcomes.clear();
  for (auto& key : aState.mDeletedKeys) {
    aBatch.mRecords.push_back(KeyedRecord::Create({ .mKey = std::move(key) }).value());
  }
  aState.mDeletedKeys.clear();
}

void
AddMaintenanceRecords(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& [wave, machine] : aState.mNewMaintenance) {
    aBatch.mRecords.push_back(MakeKeyedRecord(
      MaintenanceRecordKey(wave, machine),
      MakeCellRecord(MaintenanceRecord::Create({ .mWave = wave, .mMachine = machine }).value())));
    aBatch.mMaintenance.emplace_back(wave, machine);
  }
  aState.mNewMaintenance.clear();
}

} // namespace

void
AddChangedRecords(CellState& aState, AppendBatch& aBatch)
{
  AddJobRecords(aState, aBatch);
  // A batch may be split, and the end of a run must not be known without what it says of the task.
  AddLapseRecords(aState, aBatch);
  AddCrashRecords(aState, aBatch);
  AddProgressRecords(aState, aBatch);
  AddOutcomeRecords(aState, aBatch);
  AddMaintenanceRecords(aState, aBatch);
}

} // namespace by::detail
