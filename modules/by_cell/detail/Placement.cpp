#include "by_cell/detail/Placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Assignment.h"
#include "by_cell/detail/Feasibility.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/PlacementOrder.h"
#include "by_cell/detail/PlacementPass.h"
#include "by_cell/detail/QueryRounds.h"
#include "by_cell/detail/QuotaReport.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamRates.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_cell/detail/Trials.h"
#include "by_cell/detail/WorkerStatistics.h"
#include "by_crashes/by_crashes.h"
#include "by_placement/ResourceMath.h"

namespace by::detail {

namespace {

/// Steps per placement pass; further ones wait for the next, so that a pass stays short.
constexpr std::size_t kMaxStepsPerPass = 400;
/// A placement pass leaves a pool after this many steps without capacity there.
constexpr std::size_t kMaxMissesPerPass = 60;
/// A placement pass leaves the gangs of a pool after this many that can't start, beside the steps
/// without capacity.
constexpr std::size_t kMaxWaitingGangsPerPass = 60;
/// A placement pass leaves a group of steps after this many that the quota of their team holds
/// back, so that a long queue costs little time.
constexpr std::size_t kMaxHeldPerGroup = 8;
/// Minimum interval between passes, so that many events share one.
constexpr Time kPassInterval = Time::FromMilliseconds(5);
/// The interval grows by a millisecond for each so many waiting gangs, since they make up most of
/// the time of a pass.
constexpr std::int64_t kGangsPerMilli = 3;

WorkerRow*
FindBestWorker(PlacementPass& aPass,
               const Candidates& aCandidates,
               const JobStep& aStep,
               const JobTaskKey& aTask,
               const RackId* aRack)
{
  const auto& job = aPass.mState.mJobs.at(aTask.Job());
  const auto& occurrence = job.mOccurrences.at(aTask.Occurrence());
  const auto spare = SpareFactor(job, occurrence, aTask.Step(), aPass.mNow);
  const auto& row = occurrence.mSteps[aTask.Step()];
  const auto latestStart = LatestStart(job, occurrence, aTask.Step());
  WorkerRow* best = nullptr;
  std::pair<Suitability, std::int64_t> bestScore;
  for (auto* worker : aCandidates) {
    if (!CanHost(*worker, aStep) || (aRack != nullptr && worker->mRegistration.Rack() != *aRack)) {
      continue;
    }
    if (IsProbed(*worker) || IsKeptForTrial(*worker, aPass.mNow)) {
      continue;
    }
    if (!MayUseCapacity(aPass.mState, *worker, aStep, row, latestStart, aPass.mNow)) {
      continue;
    }
    if (aStep.SpreadLimit() > 0 && CountRunsOfStep(*worker, aTask) >= aStep.SpreadLimit()) {
      continue;
    }
    const auto score = std::make_pair(SuitabilityOf(aPass.mState, *worker, aStep, spare),
                                      FreeCapacity(*worker).CpuMillis());
    if (best == nullptr || score < bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

void
PlaceIndependentTasks(PlacementPass& aPass,
                      JobRow& aJob,
                      const ReadyKey& aKey,
                      bool aPlaceWeaklySuspected,
                      const Candidates& aCandidates)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto first = occurrence.mSteps[aKey.mStep].mFirst;
  auto allowed = CountWithinQuota(aPass.mState, aJob, step);
  for (std::uint32_t i = 0; i < step.Count() && allowed > 0; ++i) {
    const auto& row = occurrence.mTasks[first + i];
    const bool isTried =
      NeedsTrial(row.mCrashes) && !(aPlaceWeaklySuspected && IsWeaklySuspected(row.mCrashes));
    if (!CanBePlaced(row) || isTried) {
      continue;
    }
    const auto task = TaskOf(aKey, i);
    auto* worker = FindBestWorker(aPass, aCandidates, step, task, nullptr);
    if (worker == nullptr) {
      return;
    }
    AssignTask(aPass, aJob, task, *worker, row.mProgress.Run() + 1);
    --allowed;
  }
}

/// Finds a worker for each gang member, while the capacity for the earlier members is reserved.
/// @returns the workers in the order of the members; fewer than members where capacity is short.
std::vector<WorkerRow*>
FindGangWorkers(PlacementPass& aPass,
                const JobRow& aJob,
                const ReadyKey& aKey,
                const Candidates& aCandidates,
                const RackId* aRack)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto demand = EffectiveDemand(step);
  std::vector<WorkerRow*> hosts;
  for (std::uint32_t i = 0; i < step.Count(); ++i) {
    const auto task = TaskOf(aKey, i);
    auto* worker = FindBestWorker(aPass, aCandidates, step, task, aRack);
    if (worker == nullptr) {
      break;
    }
    // The row has no time, so that it is no probe: the members of the gang on a worker are one.
    worker->mRuns.emplace(RunId{ task, std::numeric_limits<std::uint32_t>::max() }, RunRow());
    worker->mUsed = Plus(worker->mUsed, demand);
    hosts.push_back(worker);
  }
  for (std::uint32_t i = 0; i < hosts.size(); ++i) {
    const auto task = TaskOf(aKey, i);
    hosts[i]->mRuns.erase(RunId{ task, std::numeric_limits<std::uint32_t>::max() });
    hosts[i]->mUsed = Minus(hosts[i]->mUsed, demand);
  }
  return hosts;
}

std::vector<RackId>
RacksOf(const Candidates& aCandidates)
{
  std::vector<RackId> racks;
  for (const auto* worker : aCandidates) {
    racks.push_back(worker->mRegistration.Rack());
  }
  std::sort(racks.begin(), racks.end());
  racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
  return racks;
}

void
PlaceGang(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey, const Candidates& aCandidates)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  std::vector<WorkerRow*> hosts;
  if (step.SameRack()) {
    for (const auto& rack : RacksOf(aCandidates)) {
      hosts = FindGangWorkers(aPass, aJob, aKey, aCandidates, &rack);
      if (hosts.size() == step.Count()) {
        break;
      }
    }
  }
  if (hosts.size() < step.Count()) {
    hosts = FindGangWorkers(aPass, aJob, aKey, aCandidates, nullptr);
  }
  if (hosts.size() < step.Count()) {
    return;
  }
  AssignGang(aPass, aJob, aKey, hosts);
}

/// Places what can be placed of a step.
/// @returns whether there was capacity for it: for all members of a gang, or for one task.
bool
PlaceWaitingTasks(PlacementPass& aPass,
                  JobRow& aJob,
                  const ReadyKey& aKey,
                  Time aLatestStart,
                  bool aPlaceWeaklySuspected,
                  const Candidates& aCandidates)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto& row = aJob.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  const std::size_t needed = step.Gang() ? step.Count() : 1;
  if (CountSlots(aPass, aCandidates, step, TaskOf(aKey, 0), row, aLatestStart, needed) < needed) {
    return false;
  }
  const auto placed = aPass.mPlaced;
  if (step.Gang()) {
    PlaceGang(aPass, aJob, aKey, aCandidates);
  } else {
    PlaceIndependentTasks(aPass, aJob, aKey, aPlaceWeaklySuspected, aCandidates);
  }
  RefreshStep(aPass.mState, aJob, aKey.mOccurrence, aKey.mStep);
  return aPass.mPlaced > placed;
}

/// @returns whether the quota of its team keeps a step from starting; the pass notes the result.
bool
IsHeldByQuota(PlacementPass& aPass, const JobRow& aJob, const JobStep& aStep)
{
  if (aJob.mTeam.IsEmpty()) {
    return false;
  }
  const bool isHeld = !QuotaAllowsStart(aPass.mState, aJob, aStep);
  auto& hasHeld = aPass.mTeamsExamined[aJob.mTeam];
  hasHeld = hasHeld || isHeld;
  return isHeld;
}

/// What a pass did with a step.
enum class StepResult : std::uint8_t
{
  Examined,
  /// Its team's quota keeps it from starting.
  Held,
  /// Enough steps of its kind have found no capacity in its pool.
  Skipped,
};

StepResult
PlaceStep(PlacementPass& aPass, const ReadyKey& aKey)
{
  auto* job = FindJob(aPass.mState, aKey.mJob);
  if (job == nullptr) {
    return StepResult::Examined;
  }
  const auto& step = StepOf(*job, aKey.mStep);
  if (IsHeldByQuota(aPass, *job, step)) {
    return StepResult::Held;
  }
  const auto& policy = PolicyOf(aPass.mState, *job);
  auto& misses = step.Gang() ? aPass.mWaitingGangs[policy.Pool()] : aPass.mMisses[policy.Pool()];
  if (misses >= (step.Gang() ? kMaxWaitingGangsPerPass : kMaxMissesPerPass)) {
    return StepResult::Skipped;
  }
  const auto& occurrence = job->mOccurrences.at(aKey.mOccurrence);
  auto& row = job->mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  const auto latestStart = LatestStart(*job, occurrence, aKey.mStep);
  const bool needsAdvice = policy.Advice().has_value();
  const auto allowed =
    needsAdvice ? FindAllowed(aPass, policy.Pool(), row.mAdvice) : AllowedWorkers();
  const auto& candidates = needsAdvice ? allowed.mWithTicket : PoolOf(aPass, policy.Pool());
  const auto trial =
    row.mHasSuspects ? PlaceTrial(aPass, *job, aKey, candidates) : TrialOutcome::PlaceOthers;
  if (trial == TrialOutcome::Wait) {
    MarkIfInfeasible(aPass.mState, aKey, aPass.mOut);
    return StepResult::Examined;
  }
  const bool placesSuspects = trial == TrialOutcome::PlaceWeaklySuspected;
  const bool places = trial == TrialOutcome::PlaceOthers || placesSuspects;
  const bool hasPlaced =
    places && PlaceWaitingTasks(aPass, *job, aKey, latestStart, placesSuspects, candidates);
  if (placesSuspects && hasPlaced) {
    row.mTrialWaitsSince = Time();
  }
  if (hasPlaced && row.mReady && IsHeldByQuota(aPass, *job, step)) {
    return StepResult::Examined;
  }
  if (places && !hasPlaced) {
    if (MarkIfInfeasible(aPass.mState, aKey, aPass.mOut)) {
      return StepResult::Examined;
    }
    // A step that waits for a trial says nothing of the capacity.
    misses += candidates.empty() || row.mTrialWaitsSince > Time() ? 0 : 1;
    if (row.mTrialWaitsSince == Time()) {
      NoteCapacityMiss(aPass, aKey, step, row, latestStart, policy.Pool());
    }
    const bool mayReserve = step.Gang() && CanBeOnTime(*job, occurrence, aKey.mStep, aPass.mNow);
    const auto reserved =
      mayReserve
        ? ReserveForGang(
            aPass, step, TaskOf(aKey, 0), row, latestStart, needsAdvice ? allowed.mAll : candidates)
        : 0;
    if (step.Gang()) {
      const auto& all = needsAdvice ? allowed.mAll : candidates;
      ReportWait(aPass, *job, aKey, latestStart, all, candidates, reserved);
    }
  }
  if (needsAdvice && row.mReady) {
    QueryInPass(aPass, *job, aKey);
  }
  return StepResult::Examined;
}

/// Places steps in the order of their keys.
/// @returns the teams with steps that can be placed; none, since without teams there are no quotas.
std::set<TeamId>
PlaceInOrder(PlacementPass& aPass)
{
  std::vector<ReadyKey> keys;
  for (const auto& key : aPass.mState.mReady) {
    if (key.mInfeasible || keys.size() == kMaxStepsPerPass) {
      break;
    }
    keys.push_back(key);
  }
  for (const auto& key : keys) {
    PlaceStep(aPass, key);
  }
  return {};
}

/// Places steps in the order that gives each team its share.
/// @returns the teams with steps that can be placed.
std::set<TeamId>
PlaceInFairOrder(PlacementPass& aPass)
{
  auto order = OrderReadySteps(aPass);
  std::set<TeamId> waiting;
  for (const auto& group : order.mGroups) {
    waiting.insert(group.mNext.mTeam);
  }
  std::map<std::pair<TeamId, std::string>, std::size_t> held;
  std::size_t examined = 0;
  while (examined < kMaxStepsPerPass) {
    const auto key = TakeNextStep(aPass, order);
    if (!key) {
      break;
    }
    const auto result = PlaceStep(aPass, *key);
    if (result == StepResult::Examined) {
      ++examined;
    } else if (result == StepResult::Skipped ||
               ++held[{ key->mTeam, key->mPool }] % kMaxHeldPerGroup == 0) {
      LeaveGroup(order);
    }
  }
  return waiting;
}

} // namespace

std::size_t
PlaceTasks(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mStoreLostAt != Time::Never()) {
    // Nothing can be started before it is stored, and what is placed now would be out of date then.
    return 0;
  }
  if (std::exchange(aState.mCapacityMayHaveGrown, false)) {
    UnmarkFeasibleSteps(aState, aOut);
  }
  aState.mPlacementNeeded = false;
  aState.mHasWaitingTrials = false;
  ++aState.mPlacementPass;
  PlacementPass pass{ .mState = aState, .mNow = aNow, .mOut = aOut, .mPools = {} };
  ReportQuotas(pass, HasTeams(aState) ? PlaceInFairOrder(pass) : PlaceInOrder(pass));
  HandOnEmptyRounds(pass);
  std::size_t gangs = 0;
  for (const auto& [pool, waiting] : pass.mWaitingGangs) {
    gangs += waiting;
  }
  aState.mNextPlacement = aNow + kPassInterval +
                          Time::FromMilliseconds(static_cast<std::int64_t>(gangs) / kGangsPerMilli);
  return pass.mPlaced;
}

} // namespace by::detail
