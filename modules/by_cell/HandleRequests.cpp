#include "by_cell/HandleRequests.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleStore.h"
#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamRates.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_jobs/by_jobs.h"
#include "by_queueing/RetryDelay.h"

namespace by {

namespace {

/// Retry delay of callers that are not refused because the store is lost.
constexpr Time kRetryDelay = Time::FromMilliseconds(1000);

void
Refuse(const CellState& aState,
       const PendingCaller& aCaller,
       const CellRequest& aRequest,
       const char* aReason,
       Time aRetryAfter,
       Effects& aOut)
{
  detail::Log(aOut,
              "job.refused",
              aRequest.Job(),
              absl::StrCat("reason=", aReason, " retry_after_ms=", aRetryAfter.Milliseconds()));
  detail::ReplyRefused(aState, aCaller, aRetryAfter, aOut);
}

/// Refuses a job that its team's quota can never hold. Retrying does not help, so the caller is not
/// told when to.
void
RefuseForQuota(const CellState& aState,
               const PendingCaller& aCaller,
               const CellRequest& aRequest,
               std::size_t aStep,
               Effects& aOut)
{
  const auto& step = aRequest.Definition()->Steps()[aStep];
  detail::Log(aOut,
              "job.refused",
              aRequest.Job(),
              absl::StrCat("reason=step exceeds the team's quota team=",
                           aRequest.Team().Text(),
                           " step=",
                           aStep,
                           " tasks=",
                           step.Gang() ? step.Count() : 1,
                           " cpu=",
                           step.Demand().CpuMillis(),
                           " memory=",
                           step.Demand().MemoryMb(),
                           " accelerators=",
                           step.Demand().Accelerators()));
  detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Throttled }, aOut);
}

/// How long a call about an unknown job waits for a confirmation of the claim.
constexpr Time kUnknownJobTimeout = Time::FromMilliseconds(1500);

/// An owner that has been replaced and has not heard of it does not know the jobs that its
/// successor has accepted, so the store is asked first.
void
KeepQuery(CellState& aState,
          const PendingCaller& aCaller,
          const CellRequest& aRequest,
          Time aNow,
          Effects& aOut)
{
  detail::Log(aOut,
              "job.unknown",
              aRequest.Job(),
              absl::StrCat("epoch=",
                           aState.mEpoch,
                           " confirmed_ms_ago=",
                           (aNow - std::min(aNow, aState.mClaimConfirmedAt)).Milliseconds()));
  aState.mUnknownJobQueries.push_back(
    { .mCaller = aCaller, .mRequest = aRequest, .mArrived = aNow });
}

bool
IsKnown(const CellState& aState, const std::string& aJob)
{
  return aState.mJobs.contains(aJob) || aState.mOutcomes.contains(aJob);
}

/// @returns whether a known job belongs to another team than the caller's. Nobody learns of the
/// jobs of other teams. Callers of an open queue have no team; they see the jobs of that queue,
/// also those that were accepted before it was opened.
bool
IsOfAnotherTeam(const CellState& aState, const CellRequest& aRequest)
{
  TeamId team;
  if (const auto open = aState.mJobs.find(aRequest.Job()); open != aState.mJobs.end()) {
    team = open->second.mTeam;
    const auto& queue = open->second.mJob.Queue();
    if (aRequest.Team().IsEmpty() && (queue.Host() != aRequest.Queue().Host() ||
                                      queue.PathPrefix() != aRequest.Queue().PathPrefix())) {
      return !team.IsEmpty();
    }
  } else if (const auto ended = aState.mOutcomes.find(aRequest.Job());
             ended != aState.mOutcomes.end()) {
    team = ended->second.mTeam;
  }
  return !team.IsEmpty() && !aRequest.Team().IsEmpty() && team != aRequest.Team();
}

/// Answers a repeated submission: at once where the record is stored, else when it is.
/// @tparam Row a JobRow or an OutcomeRow.
template<class Row>
void
AcceptOnceStored(const CellState& aState, const PendingCaller& aCaller, Row& aRow, Effects& aOut)
{
  if (aRow.mStored) {
    detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Accepted }, aOut);
  } else {
    aRow.mSubmitters.push_back(aCaller);
  }
}

void
Submit(CellState& aState,
       const PendingCaller& aCaller,
       const CellRequest& aRequest,
       Time aNow,
       Effects& aOut)
{
  if (const auto ended = aState.mOutcomes.find(aRequest.Job()); ended != aState.mOutcomes.end()) {
    AcceptOnceStored(aState, aCaller, ended->second, aOut);
    return;
  }
  if (auto* known = detail::FindJob(aState, aRequest.Job())) {
    detail::Log(aOut, "job.repeated", aRequest.Job(), absl::StrCat("stored=", known->mStored));
    AcceptOnceStored(aState, aCaller, *known, aOut);
    return;
  }
  Findings findings;
  if (aRequest.Definition()) {
    CheckDefinition(*aRequest.Definition(), findings);
  }
  if (!aRequest.Definition() || !findings.IsEmpty()) {
    detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Malformed }, aOut);
    return;
  }
  const auto& steps = aRequest.Definition()->Steps();
  const auto tooLarge = std::find_if(steps.begin(), steps.end(), [&](const JobStep& aStep) {
    return detail::ExceedsQuota(aState, aRequest.Team(), aStep);
  });
  if (tooLarge != steps.end()) {
    const auto index = static_cast<std::size_t>(tooLarge - steps.begin());
    RefuseForQuota(aState, aCaller, aRequest, index, aOut);
    return;
  }
  if (aState.mStoreRejects || aState.mStoreLostAt + aState.mSettings.StoreLossTimeout() < aNow) {
    const auto slack = SlackTime(*aRequest.Definition(), aRequest.Queue());
    Refuse(aState,
           aCaller,
           aRequest,
           "store out of reach",
           RetryDelayInOutage(StoreOutageAge(aState, aNow), slack),
           aOut);
    return;
  }
  if (aState.mJobs.size() >= aState.mSettings.JobLimit()) {
    Refuse(aState, aCaller, aRequest, "too many open jobs", kRetryDelay, aOut);
    return;
  }
  // Checked last, so that a submission that is refused for another reason takes no token.
  const auto check = detail::MeterSubmission(aState, aCaller, aRequest, aNow, aOut);
  if (check.mRetryAfter) {
    detail::Reply(aState,
                  aCaller,
                  { .mOutcome = JobCallOutcome::Throttled, .mRetryAfter = *check.mRetryAfter },
                  aOut);
    return;
  }
  auto& job = aState.mJobs[aRequest.Job()];
  job.mTeam = aRequest.Team();
  job.mIsExcess = check.mIsExcess;
  job.mJob = Job::Create({ .mId = aRequest.Job(),
                           .mQueue = aRequest.Queue(),
                           .mDefinition = *aRequest.Definition(),
                           .mAccepted = aNow })
               .value();
  job.mObjective = aNow + ObjectiveTime(*aRequest.Definition(), aRequest.Queue());
  job.mSubmitters.push_back(aCaller);
  aState.mNewJobs.push_back(aRequest.Job());
  detail::OpenDueOccurrences(aState, job, aNow);
  detail::PrefetchAdvice(aState, job, aNow, aOut);
  detail::Log(aOut,
              "job.received",
              aRequest.Job(),
              absl::StrCat("queue=",
                           aRequest.Queue().PathPrefix(),
                           " priority=",
                           aRequest.Queue().Priority(),
                           " team=",
                           aRequest.Team().Text(),
                           " excess=",
                           job.mIsExcess,
                           " tasks=",
                           CountTasks(*aRequest.Definition()),
                           " objective_ms=",
                           (job.mObjective - aNow).Milliseconds()));
}

void
Show(CellState& aState,
     const PendingCaller& aCaller,
     const CellRequest& aRequest,
     Time aNow,
     Effects& aOut)
{
  if (const auto ended = aState.mOutcomes.find(aRequest.Job()); ended != aState.mOutcomes.end()) {
    const auto state = ended->second.mStored ? ended->second.mState : JobState::Running;
    detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Shown, .mState = state }, aOut);
    return;
  }
  const auto open = aState.mJobs.find(aRequest.Job());
  if (open == aState.mJobs.end()) {
    KeepQuery(aState, aCaller, aRequest, aNow, aOut);
    return;
  }
  const auto state = open->second.mStarted ? JobState::Running : JobState::Queued;
  detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Shown, .mState = state }, aOut);
}

void
CancelJob(CellState& aState,
          const PendingCaller& aCaller,
          const CellRequest& aRequest,
          Time aNow,
          Effects& aOut)
{
  if (detail::FindJob(aState, aRequest.Job()) != nullptr) {
    detail::EndJob(aState, aRequest.Job(), JobState::Cancelled, aNow, aOut);
  }
  const auto ended = aState.mOutcomes.find(aRequest.Job());
  if (ended == aState.mOutcomes.end()) {
    KeepQuery(aState, aCaller, aRequest, aNow, aOut);
    return;
  }
  if (ended->second.mStored) {
    detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Cancelled }, aOut);
    return;
  }
  ended->second.mCancellers.push_back(aCaller);
}

void
Count(const CellState& aState,
      const PendingCaller& aCaller,
      const CellRequest& aRequest,
      Effects& aOut)
{
  const auto it =
    aState.mUnstarted.find({ aRequest.Queue().Host(), aRequest.Queue().PathPrefix() });
  const std::uint64_t n = it == aState.mUnstarted.end() ? 0 : it->second;
  detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::Counted, .mWaiting = n }, aOut);
}

} // namespace

void
HandleRequest(CellState& aState,
              const PendingCaller& aCaller,
              const CellRequest& aRequest,
              Time aNow,
              Effects& aOut)
{
  if (IsOfAnotherTeam(aState, aRequest)) {
    detail::Log(
      aOut, "job.of_another_team", aRequest.Job(), absl::StrCat("caller=", aRequest.Team().Text()));
    detail::Reply(aState, aCaller, { .mOutcome = JobCallOutcome::UnknownJob }, aOut);
    return;
  }
  switch (aRequest.Kind()) {
    case JobCallKind::Submit:
      Submit(aState, aCaller, aRequest, aNow, aOut);
      return;
    case JobCallKind::Show:
      Show(aState, aCaller, aRequest, aNow, aOut);
      return;
    case JobCallKind::Cancel:
      CancelJob(aState, aCaller, aRequest, aNow, aOut);
      return;
    case JobCallKind::Count:
      Count(aState, aCaller, aRequest, aOut);
      return;
  }
}

bool
AwaitsClaimConfirmation(const CellState& aState)
{
  return !aState.mUnknownJobQueries.empty();
}

void
AnswerUnknownJobQueries(CellState& aState, Time aNow, Effects& aOut)
{
  auto& queries = aState.mUnknownJobQueries;
  while (!queries.empty()) {
    const bool isConfirmed = queries.front().mArrived <= aState.mClaimConfirmedAt;
    if (!isConfirmed && aNow < queries.front().mArrived + kUnknownJobTimeout) {
      return;
    }
    const auto query = std::move(queries.front());
    queries.pop_front();
    const auto waited = absl::StrCat("waited_ms=", (aNow - query.mArrived).Milliseconds());
    if (IsKnown(aState, query.mRequest.Job())) {
      HandleRequest(aState, query.mCaller, query.mRequest, aNow, aOut);
    } else if (isConfirmed) {
      detail::Log(aOut, "job.unknown_confirmed", query.mRequest.Job(), waited);
      detail::Reply(aState, query.mCaller, { .mOutcome = JobCallOutcome::UnknownJob }, aOut);
    } else {
      detail::Log(aOut,
                  "call.refused",
                  query.mRequest.Job(),
                  absl::StrCat("reason=claim not confirmed ", waited));
      detail::ReplyRefused(aState, query.mCaller, kRetryDelay, aOut);
    }
  }
}

void
ForgetCallers(CellState& aState, const std::string& aNode, std::uint64_t aLink)
{
  const auto isHeldThere = [&](const PendingCaller& aCaller) {
    return aCaller.mNode == aNode && aCaller.mLink == aLink;
  };
  const auto forget = [&](const std::vector<std::string>& aJobs,
                          const std::vector<std::string>& aOutcomes) {
    for (const auto& id : aJobs) {
      if (auto* job = detail::FindJob(aState, id)) {
        std::erase_if(job->mSubmitters, isHeldThere);
      }
    }
    for (const auto& id : aOutcomes) {
      if (const auto it = aState.mOutcomes.find(id); it != aState.mOutcomes.end()) {
        std::erase_if(it->second.mCancellers, isHeldThere);
        std::erase_if(it->second.mSubmitters, isHeldThere);
      }
    }
  };
  std::erase_if(aState.mUnknownJobQueries,
                [&](const UnknownJobQuery& aQuery) { return isHeldThere(aQuery.mCaller); });
  forget(aState.mNewJobs, aState.mNewOutcomes);
  if (aState.mInFlight) {
    forget(aState.mInFlight->mJobs, aState.mInFlight->mOutcomes);
  }
}

} // namespace by
