#include "by_cell/HandleStore.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

KeyedRecord
Keyed(std::string aKey, CellRecord aRecord)
{
  return KeyedRecord::Create({ .mKey = std::move(aKey), .mRecord = std::move(aRecord) }).value();
}

template<class Body>
CellRecord
RecordOf(Body aBody)
{
  return CellRecord::Create({ .mBody = std::move(aBody) }).value();
}

OccurrenceProgress
ProgressOf(const std::string& aJob, std::uint32_t aIndex, const OccurrenceRow& aRow)
{
  OccurrenceProgress::Fields fields{ .mJob = aJob, .mIndex = aIndex, .mTasks = {} };
  fields.mTasks.reserve(aRow.mTasks.size());
  for (const auto& task : aRow.mTasks) {
    fields.mTasks.push_back(task.mProgress);
  }
  return OccurrenceProgress::Create(std::move(fields)).value();
}

void
TakeJobs(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& id : aState.mNewJobs) {
    if (const auto* job = detail::FindJob(aState, id)) {
      aBatch.mRecords.push_back(Keyed(JobRecordKey(id), RecordOf(job->mJob)));
      aBatch.mJobs.push_back(id);
    }
  }
  aState.mNewJobs.clear();
}

void
TakeProgress(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& [id, index] : aState.mNewProgress) {
    if (const auto* row = detail::FindOccurrence(aState, id, index)) {
      aBatch.mRecords.push_back(
        Keyed(ProgressRecordKey(id, index), RecordOf(ProgressOf(id, index, *row))));
    }
  }
  aState.mNewProgress.clear();
}

void
TakeOutcomes(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& id : aState.mNewOutcomes) {
    const auto it = aState.mOutcomes.find(id);
    if (it != aState.mOutcomes.end()) {
      aBatch.mRecords.push_back(
        Keyed(OutcomeRecordKey(id),
              RecordOf(JobOutcome::Create(
                         { .mJob = id, .mState = it->second.mState, .mEnded = it->second.mEnded })
                         .value())));
      aBatch.mOutcomes.push_back(id);
    }
  }
  aState.mNewOutcomes.clear();
  for (auto& key : aState.mDropped) {
    aBatch.mRecords.push_back(KeyedRecord::Create({ .mKey = std::move(key) }).value());
  }
  aState.mDropped.clear();
}

void
TakeUpkeeps(CellState& aState, AppendBatch& aBatch)
{
  for (const auto& [wave, machine] : aState.mNewUpkeeps) {
    aBatch.mRecords.push_back(
      Keyed(UpkeepRecordKey(wave, machine),
            RecordOf(MaintenanceRecord::Create({ .mWave = wave, .mMachine = machine }).value())));
    aBatch.mUpkeeps.emplace_back(wave, machine);
  }
  aState.mNewUpkeeps.clear();
}

void
Send(const CellState& aState, AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  aBatch.mOpen = true;
  aBatch.mLastSent = aNow;
  detail::Emit(
    aOut,
    AppendToCell::Create(
      { .mEpoch = aState.mEpoch, .mSequence = aBatch.mSequence, .mRecords = aBatch.mRecords })
      .value());
}

void
RefuseSubmitters(CellState& aState, const std::string& aJob, Time aNow, Effects& aOut)
{
  auto* job = detail::FindJob(aState, aJob);
  if (job == nullptr || job->mStored) {
    return;
  }
  for (const auto& waiter : job->mSubmitters) {
    detail::ReplyRefused(aState, waiter, aOut);
  }
  detail::Log(aOut, "job.refused", aJob, "reason=store out of reach");
  detail::ForgetJob(aState, aJob, aNow, aOut);
}

void
JobsAreStored(CellState& aState, const AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  for (const auto& id : aBatch.mJobs) {
    auto* job = detail::FindJob(aState, id);
    if (job == nullptr) {
      continue;
    }
    job->mStored = true;
    if (!job->mStarted && job->mJob.Definition().Occurrences() == 0) {
      ++aState.mUnstarted[{ job->mJob.Queue().Host(), job->mJob.Queue().PathPrefix() }];
    }
    detail::Log(aOut,
                "job.accepted",
                id,
                absl::StrCat("sequence=",
                             aBatch.mSequence,
                             " stored_after_ms=",
                             (aNow - job->mJob.Accepted()).Milliseconds()));
    for (const auto& waiter : job->mSubmitters) {
      detail::Reply(aState, waiter, { .mOutcome = JobCallOutcome::Accepted }, aOut);
    }
    job->mSubmitters.clear();
  }
}

void
OutcomesAreStored(CellState& aState, const AppendBatch& aBatch, Effects& aOut)
{
  for (const auto& id : aBatch.mOutcomes) {
    const auto it = aState.mOutcomes.find(id);
    if (it == aState.mOutcomes.end()) {
      continue;
    }
    it->second.mStored = true;
    for (const auto& waiter : std::exchange(it->second.mCancellers, {})) {
      detail::Reply(aState, waiter, { .mOutcome = JobCallOutcome::Cancelled }, aOut);
    }
    for (const auto& waiter : std::exchange(it->second.mSubmitters, {})) {
      detail::Reply(aState, waiter, { .mOutcome = JobCallOutcome::Accepted }, aOut);
    }
  }
}

/// A worker that began to drain or stopped answering since gets no new run.
void
OrderStarts(CellState& aState, const AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  for (const auto& [id, run] : aBatch.mStarts) {
    const auto worker = aState.mWorkers.find(id);
    if (worker == aState.mWorkers.end()) {
      continue;
    }
    const auto row = worker->second.mRuns.find(run);
    if (row == worker->second.mRuns.end() || row->second.mPhase != RunPhase::Planned) {
      continue;
    }
    if (worker->second.mRegistration.Draining() ||
        worker->second.mHealth != WorkerHealth::Reachable) {
      detail::Log(aOut, "start.dropped", detail::Named(run), "reason=worker no longer usable");
      detail::Requeue(aState, run.mTask, aNow, aOut);
      continue;
    }
    detail::SendStart(aState, worker->second, run, aNow, aOut);
  }
}

void
EndsAreStored(CellState& aState, const AppendBatch& aBatch, Time aNow)
{
  for (const auto& end : aBatch.mEnds) {
    const auto worker = aState.mWorkers.find(end.mWorker);
    if (worker != aState.mWorkers.end() && worker->second.mLifeSince == end.mLifeSince) {
      worker->second.mEndStored = std::max(worker->second.mEndStored, end.mNumber);
      // The next look acknowledges them; without runs there is none yet.
      detail::LookBy(aState, worker->second, aNow + aState.mSettings.PollInterval());
    }
  }
}

/// Takes a job's records out of a batch that was not done.
void
DropRecordsOf(AppendBatch& aBatch, const std::string& aId, const JobRow& aJob)
{
  std::vector<std::string> keys{ JobRecordKey(aId) };
  for (const auto& [index, occurrence] : aJob.mOccurrences) {
    keys.push_back(ProgressRecordKey(aId, index));
  }
  std::erase_if(aBatch.mRecords, [&](const KeyedRecord& aRecord) {
    return std::find(keys.begin(), keys.end(), aRecord.Key()) != keys.end();
  });
}

/// Nothing of the batch was done: callers are told so, the rest is sent again.
void
KeepRefusedBatch(CellState& aState, Time aNow, Effects& aOut)
{
  auto& batch = *aState.mInFlight;
  if (batch.mUncertain) {
    return;
  }
  for (const auto& id : std::exchange(batch.mJobs, {})) {
    const auto* job = detail::FindJob(aState, id);
    if (job == nullptr) {
      continue;
    }
    DropRecordsOf(batch, id, *job);
    RefuseSubmitters(aState, id, aNow, aOut);
  }
  if (batch.mRecords.empty()) {
    aState.mNextSequence = batch.mSequence;
    auto& ends = aState.mNext.mEnds;
    ends.insert(ends.end(), batch.mEnds.begin(), batch.mEnds.end());
    aState.mInFlight.reset();
  }
}

} // namespace

bool
HasUnstored(const CellState& aState)
{
  return aState.mInFlight.has_value() || !aState.mNewJobs.empty() || !aState.mNewProgress.empty() ||
         !aState.mNewOutcomes.empty() || !aState.mDropped.empty() || !aState.mNewUpkeeps.empty();
}

void
FlushRecords(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mInFlight) {
    auto& batch = *aState.mInFlight;
    if (!batch.mOpen && aNow >= batch.mLastSent + aState.mSettings.AppendRetryDelay()) {
      Send(aState, batch, aNow, aOut);
    }
    return;
  }
  if (!HasUnstored(aState)) {
    // Ends of runs that nothing depends on need no record.
    EndsAreStored(aState, std::exchange(aState.mNext, {}), aNow);
    return;
  }
  if (aNow < aState.mNextAppend || aState.mFenced) {
    return;
  }
  AppendBatch batch = std::exchange(aState.mNext, {});
  TakeJobs(aState, batch);
  TakeProgress(aState, batch);
  TakeOutcomes(aState, batch);
  TakeUpkeeps(aState, batch);
  if (batch.mRecords.empty()) {
    aState.mNext = std::move(batch);
    return;
  }
  batch.mSequence = aState.mNextSequence++;
  batch.mFirstSent = aNow;
  aState.mInFlight = std::move(batch);
  Send(aState, *aState.mInFlight, aNow, aOut);
}

void
HandleAppended(CellState& aState, const CellAppended& aEvent, Time aNow, Effects& aOut)
{
  if (!aState.mInFlight || aState.mInFlight->mSequence != aEvent.Sequence() ||
      aState.mEpoch != aEvent.Epoch()) {
    return;
  }
  auto& inFlight = *aState.mInFlight;
  inFlight.mOpen = false;
  switch (aEvent.Outcome()) {
    case StoreOutcome::Done: {
      const auto batch = std::move(inFlight);
      aState.mInFlight.reset();
      if (aState.mStoreLostAt != Time::Never()) {
        detail::Log(aOut,
                    "store.regained",
                    "append",
                    absl::StrCat("lost_for_ms=", (aNow - aState.mStoreLostAt).Milliseconds()));
      }
      aState.mStoreLostAt = Time::Never();
      aState.mStoreRefuses = false;
      aState.mConfirmedAt = std::max(aState.mConfirmedAt, batch.mLastSent);
      aState.mNextAppend = batch.mLastSent + aState.mSettings.AppendInterval();
      JobsAreStored(aState, batch, aNow, aOut);
      OutcomesAreStored(aState, batch, aOut);
      OrderStarts(aState, batch, aNow, aOut);
      UpkeepsAreStored(aState, batch.mUpkeeps, aNow, aOut);
      EndsAreStored(aState, batch, aNow);
      return;
    }
    case StoreOutcome::Fenced:
    case StoreOutcome::Conflict:
      detail::Log(aOut,
                  "cell.fenced",
                  absl::StrCat("epoch ", aState.mEpoch),
                  absl::StrCat("by=store outcome=", std::string(ToString(aEvent.Outcome()))));
      aState.mFenced = true;
      return;
    case StoreOutcome::Refused:
    case StoreOutcome::Unanswered:
      if (aState.mStoreLostAt == Time::Never()) {
        aState.mStoreLostAt = inFlight.mFirstSent;
        detail::Log(
          aOut,
          "store.lost",
          "append",
          absl::StrCat(
            "outcome=", std::string(ToString(aEvent.Outcome())), " sequence=", aEvent.Sequence()));
      }
      aState.mStoreRefuses = aEvent.Outcome() == StoreOutcome::Refused;
      if (aEvent.Outcome() == StoreOutcome::Unanswered) {
        inFlight.mUncertain = true;
      } else {
        KeepRefusedBatch(aState, aNow, aOut);
      }
      return;
  }
}

void
AnswerStalledCallers(CellState& aState, Time aNow, Effects& aOut)
{
  if (!aState.mInFlight ||
      aNow < aState.mInFlight->mFirstSent + aState.mSettings.StoreLossTimeout()) {
    return;
  }
  if (aState.mStoreLostAt == Time::Never()) {
    aState.mStoreLostAt = aState.mInFlight->mFirstSent;
  }
  for (const auto& id : std::exchange(aState.mNewJobs, {})) {
    RefuseSubmitters(aState, id, aNow, aOut);
  }
  auto& batch = *aState.mInFlight;
  if (batch.mToldUncertain || aNow < batch.mFirstSent + aState.mSettings.AppendTimeout()) {
    return;
  }
  batch.mToldUncertain = true;
  for (const auto& id : batch.mJobs) {
    if (auto* job = detail::FindJob(aState, id)) {
      for (const auto& waiter : std::exchange(job->mSubmitters, {})) {
        detail::Reply(aState, waiter, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
      }
    }
  }
  for (auto& [id, outcome] : aState.mOutcomes) {
    if (!outcome.mStored) {
      for (const auto& waiter : std::exchange(outcome.mCancellers, {})) {
        detail::Reply(aState, waiter, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
      }
    }
  }
}

} // namespace by
