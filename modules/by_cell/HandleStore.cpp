#include "by_cell/HandleStore.h"

#include <algorithm>
#include <iterator>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Advice.h"
#include "by_cell/detail/AppendSize.h"
#include "by_cell/detail/ChangedRecords.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/JobOfRecord.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_jobs/by_jobs.h"
#include "by_queueing/RetryDelay.h"

namespace by {

namespace {

void
SendBatch(const CellState& aState, AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  aBatch.mCallInFlight = true;
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
  const auto retryAfter = RetryDelayInOutage(StoreOutageAge(aState, aNow),
                                             SlackTime(job->mJob.Definition(), job->mJob.Queue()));
  for (const auto& caller : job->mSubmitters) {
    detail::ReplyRefused(aState, caller, retryAfter, aOut);
  }
  detail::Log(aOut,
              "job.refused",
              aJob,
              absl::StrCat("reason=store out of reach retry_after_ms=", retryAfter.Milliseconds()));
  detail::DiscardJob(aState, aJob, aNow, aOut);
}

void
AcceptStoredJobs(CellState& aState, const AppendBatch& aBatch, Time aNow, Effects& aOut)
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
    for (const auto& caller : job->mSubmitters) {
      detail::Reply(aState, caller, { .mOutcome = JobCallOutcome::Accepted }, aOut);
    }
    job->mSubmitters.clear();
  }
}

void
AnswerStoredOutcomes(CellState& aState, const AppendBatch& aBatch, Effects& aOut)
{
  for (const auto& id : aBatch.mOutcomes) {
    const auto it = aState.mOutcomes.find(id);
    if (it == aState.mOutcomes.end()) {
      continue;
    }
    it->second.mStored = true;
    for (const auto& caller : std::exchange(it->second.mCancellers, {})) {
      detail::Reply(aState, caller, { .mOutcome = JobCallOutcome::Cancelled }, aOut);
    }
    for (const auto& caller : std::exchange(it->second.mSubmitters, {})) {
      detail::Reply(aState, caller, { .mOutcome = JobCallOutcome::Accepted }, aOut);
    }
  }
}

/// @returns why a run must not be started although its assignment is stored; nullptr if it may.
const char*
ReasonToDropStart(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, Time aNow)
{
  if (aWorker.mRegistration.Draining() || aWorker.mHealth != WorkerHealth::Reachable) {
    return "worker no longer accepts runs";
  }
  if (!detail::MayGrantLeases(aState, aNow)) {
    return "the owner is not confirmed";
  }
  if (detail::IsOverCapacity(aWorker)) {
    return "worker's capacity has shrunk";
  }
  const auto* job = detail::FindJob(aState, aRun.mTask.Job());
  if (job != nullptr && detail::IsAboveQuota(aState, job->mTeam)) {
    return "the team's quota has been reduced";
  }
  if (job == nullptr || !detail::PolicyOf(aState, *job).Advice()) {
    return nullptr;
  }
  const auto& step = job->mOccurrences.at(aRun.mTask.Occurrence()).mSteps[aRun.mTask.Step()];
  return detail::HasTicket(step.mAdvice, aWorker, aNow) ? nullptr : "no valid ticket";
}

/// @returns the worker of a run that waits for its assignment to be stored; nullptr for any other.
WorkerRow*
FindPlannedHost(CellState& aState, const std::string& aWorker, const RunId& aRun)
{
  const auto worker = aState.mWorkers.find(aWorker);
  if (worker == aState.mWorkers.end()) {
    return nullptr;
  }
  const auto row = worker->second.mRuns.find(aRun);
  const bool isPlanned =
    row != worker->second.mRuns.end() && row->second.mPhase == RunPhase::Planned;
  return isPlanned ? &worker->second : nullptr;
}

/// Starts the runs whose assignments are stored. A worker that has begun to drain, stopped
/// answering or shrunk meanwhile gets no new run.
void
SendStoredStarts(CellState& aState, const AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  // Dropping one member of a gang requeues all of them, so no start is sent before.
  for (const auto& [id, run] : aBatch.mStarts) {
    const auto* worker = FindPlannedHost(aState, id, run);
    const char* reason =
      worker == nullptr ? nullptr : ReasonToDropStart(aState, *worker, run, aNow);
    if (reason != nullptr) {
      detail::Log(aOut, "start.dropped", detail::FormatRunId(run), absl::StrCat("reason=", reason));
      detail::Requeue(aState, run.mTask, aNow, aOut);
    }
  }
  for (const auto& [id, run] : aBatch.mStarts) {
    if (auto* worker = FindPlannedHost(aState, id, run)) {
      detail::SendStart(aState, *worker, run, aNow, aOut);
    }
  }
}

void
AcknowledgeStoredEnds(CellState& aState, const AppendBatch& aBatch, Time aNow)
{
  for (const auto& end : aBatch.mEnds) {
    const auto worker = aState.mWorkers.find(end.mWorker);
    if (worker != aState.mWorkers.end() && worker->second.mProcessStart == end.mProcessStart) {
      worker->second.mLastEndStored = std::max(worker->second.mLastEndStored, end.mNumber);
      // The next poll acknowledges the ends; a worker without runs has none scheduled yet. A worker
      // that lists a part of its ends lists the next part only then.
      const auto delay = worker->second.mUnresolvedRuns > 0 ? aState.mSettings.MinPollInterval()
                                                            : aState.mSettings.PollInterval();
      detail::SchedulePoll(aState, worker->second, aNow + delay);
    }
  }
}

/// Removes the records of jobs from a batch that the store has not applied.
void
RemoveJobRecords(AppendBatch& aBatch, const absl::flat_hash_set<std::string>& aJobs)
{
  const auto isOfJob = [&](const KeyedRecord& aRecord) {
    const auto* job = detail::JobOfRecord(aRecord);
    return job != nullptr && aJobs.contains(*job);
  };
  std::erase_if(aBatch.mRecords, isOfJob);
  for (auto& records : aBatch.mFurtherRecords) {
    std::erase_if(records, isOfJob);
  }
  std::erase_if(aBatch.mFurtherRecords,
                [](const std::vector<KeyedRecord>& aRecords) { return aRecords.empty(); });
}

/// Removes the records of the next call from a batch and returns them.
std::vector<KeyedRecord>
TakeNextRecords(AppendBatch& aBatch)
{
  auto records = std::move(aBatch.mFurtherRecords.front());
  aBatch.mFurtherRecords.pop_front();
  return records;
}

/// Sends the next call of a batch of which the store holds the earlier ones.
void
SendFurtherRecords(CellState& aState, AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  aBatch.mRecords = TakeNextRecords(aBatch);
  aBatch.mSequence = aState.mNextSequence++;
  aBatch.mUncertain = true;
  SendBatch(aState, aBatch, aNow, aOut);
}

/// Notes that the store has answered an append.
void
ConfirmStore(CellState& aState, const AppendBatch& aBatch, Time aNow, Effects& aOut)
{
  if (aState.mStoreLostAt != Time::Never()) {
    detail::Log(aOut,
                "store.regained",
                "append",
                absl::StrCat("lost_for_ms=", (aNow - aState.mStoreLostAt).Milliseconds()));
    aState.mPlacementNeeded = true;
  }
  aState.mStoreLostAt = Time::Never();
  aState.mStoreRejects = false;
  aState.mConfirmedAt = std::max(aState.mConfirmedAt, aBatch.mLastSent);
  aState.mClaimConfirmedAt = std::max(aState.mClaimConfirmedAt, aBatch.mLastSent);
}

/// Handles a batch that the store rejected as a whole: submitters are refused, and the other
/// records are sent again. A batch that an earlier call may have stored is sent again unchanged.
void
HandleRefusedBatch(CellState& aState, Time aNow, Effects& aOut)
{
  auto& batch = *aState.mInFlight;
  if (batch.mUncertain) {
    return;
  }
  absl::flat_hash_set<std::string> refused;
  for (const auto& id : std::exchange(batch.mJobs, {})) {
    if (detail::FindJob(aState, id) != nullptr) {
      RefuseSubmitters(aState, id, aNow, aOut);
      refused.insert(id);
    }
  }
  RemoveJobRecords(batch, refused);
  if (batch.mRecords.empty() && !batch.mFurtherRecords.empty()) {
    batch.mRecords = TakeNextRecords(batch);
  }
  if (batch.mRecords.empty()) {
    // Only an append shows that the store is back, and an owner without one would refuse every
    // submission from then on. Deleting the keys of the refused jobs changes nothing.
    for (const auto& id : refused) {
      batch.mRecords.push_back(KeyedRecord::Create({ .mKey = JobRecordKey(id) }).value());
    }
  }
  if (batch.mRecords.empty()) {
    aState.mNextSequence = batch.mSequence;
    auto& ends = aState.mNextBatch.mEnds;
    ends.insert(ends.end(), batch.mEnds.begin(), batch.mEnds.end());
    aState.mInFlight.reset();
  }
}

} // namespace

Time
StoreOutageAge(const CellState& aState, Time aNow)
{
  return aState.mStoreLostAt == Time::Never() ? Time() : aNow - aState.mStoreLostAt;
}

bool
HasUnstored(const CellState& aState)
{
  return aState.mInFlight.has_value() || !aState.mNewJobs.empty() || !aState.mNewProgress.empty() ||
         !aState.mNewCrashes.empty() || !aState.mNewLapses.empty() ||
         !aState.mNewOutcomes.empty() || !aState.mDeletedKeys.empty() ||
         !aState.mNewMaintenance.empty();
}

void
FlushRecords(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mInFlight) {
    auto& batch = *aState.mInFlight;
    if (!batch.mCallInFlight && aNow >= batch.mLastSent + aState.mSettings.AppendRetryDelay()) {
      SendBatch(aState, batch, aNow, aOut);
    }
    return;
  }
  if (!HasUnstored(aState)) {
    // Ends that change no record need no append before they are acknowledged.
    AcknowledgeStoredEnds(aState, std::exchange(aState.mNextBatch, {}), aNow);
    return;
  }
  if (aNow < aState.mNextAppend || aState.mFenced) {
    return;
  }
  AppendBatch batch = std::exchange(aState.mNextBatch, {});
  detail::AddChangedRecords(aState, batch);
  if (batch.mRecords.empty()) {
    aState.mNextBatch = std::move(batch);
    return;
  }
  auto parts = detail::SplitRecords(std::move(batch.mRecords), aState.mSettings.AppendLimit());
  batch.mFurtherRecords.assign(std::make_move_iterator(parts.begin()),
                               std::make_move_iterator(parts.end()));
  batch.mRecords = TakeNextRecords(batch);
  batch.mSequence = aState.mNextSequence++;
  batch.mFirstSent = aNow;
  aState.mInFlight = std::move(batch);
  SendBatch(aState, *aState.mInFlight, aNow, aOut);
}

void
HandleAppended(CellState& aState, const CellAppended& aEvent, Time aNow, Effects& aOut)
{
  if (!aState.mInFlight || aState.mInFlight->mSequence != aEvent.Sequence() ||
      aState.mEpoch != aEvent.Epoch()) {
    return;
  }
  auto& inFlight = *aState.mInFlight;
  inFlight.mCallInFlight = false;
  switch (aEvent.Outcome()) {
    case StoreOutcome::Done: {
      ConfirmStore(aState, inFlight, aNow, aOut);
      if (!inFlight.mFurtherRecords.empty()) {
        SendFurtherRecords(aState, inFlight, aNow, aOut);
        return;
      }
      const auto batch = std::move(inFlight);
      aState.mInFlight.reset();
      aState.mNextAppend = batch.mLastSent + aState.mSettings.AppendInterval();
      AcceptStoredJobs(aState, batch, aNow, aOut);
      AnswerStoredOutcomes(aState, batch, aOut);
      SendStoredStarts(aState, batch, aNow, aOut);
      OrderStoredMaintenance(aState, batch.mMaintenance, aNow, aOut);
      AcknowledgeStoredEnds(aState, batch, aNow);
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
      aState.mStoreRejects = aEvent.Outcome() == StoreOutcome::Refused;
      if (aEvent.Outcome() == StoreOutcome::Unanswered) {
        inFlight.mUncertain = true;
      } else {
        HandleRefusedBatch(aState, aNow, aOut);
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
  if (batch.mUncertaintyReported || aNow < batch.mFirstSent + aState.mSettings.AppendTimeout()) {
    return;
  }
  batch.mUncertaintyReported = true;
  for (const auto& id : batch.mJobs) {
    if (auto* job = detail::FindJob(aState, id)) {
      for (const auto& caller : std::exchange(job->mSubmitters, {})) {
        detail::Reply(aState, caller, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
      }
    }
  }
  for (auto& [id, outcome] : aState.mOutcomes) {
    if (!outcome.mStored) {
      for (const auto& caller : std::exchange(outcome.mCancellers, {})) {
        detail::Reply(aState, caller, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
      }
    }
  }
}

} // namespace by
