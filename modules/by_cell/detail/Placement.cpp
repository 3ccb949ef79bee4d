#include "by_cell/detail/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Room.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_placement/ResourceMath.h"
#include "by_queueing/GangHold.h"

namespace by::detail {

namespace {

/// Steps per placement pass; further ones wait for the next, so that a pass stays short.
constexpr std::size_t kMaxStepsPerPass = 400;
/// A placement pass leaves a pool after this many steps without capacity there.
constexpr std::size_t kMaxMissesPerPass = 60;
/// A placement pass leaves the gangs of a pool after this many that can't start, in addition.
constexpr std::size_t kMaxWaitingGangsPerPass = 60;
/// Advice queries per placement pass and pool, since selecting the workers to ask for takes long.
constexpr std::size_t kMaxQueriesPerPass = 4;
/// Minimum interval between passes, so that many events share one.
constexpr Time kPassInterval = Time::FromMilliseconds(5);
/// The interval grows by a millisecond for each so many waiting gangs, since they make up most of
/// the time of a pass.
constexpr std::int64_t kGangsPerMilli = 3;
/// Workers whose slowness differs by less than this rank as equally fast, and free capacity decides
/// between them.
constexpr double kSpeedClassWidth = 0.15;
/// A worker is fast enough for a step if the step has this many times the time that the worker is
/// expected to need: declared times are off by about a fifth, and a step waits for its slowest
/// task.
constexpr double kSpeedMargin = 2.0;
/// How long room may be held before the gang that it is held for can start; about as long as a
/// ticket is valid.
constexpr Time kHoldTime = Time::FromMilliseconds(1500);
/// Counts all slots.
constexpr std::size_t kNoLimitOfSlots = std::numeric_limits<std::size_t>::max();
/// Interval between two lines of the log that say why a step waits.
constexpr Time kWaitReportInterval = Time::FromMilliseconds(1000);
/// A gang counts as on time until this part of its declared time after its latest start.
constexpr std::int64_t kLateStartDivisor = 4;
/// How long a worker that the registry dropped stays usable while it answers; its entry may
/// reappear.
constexpr Time kRegistryGrace = Time::FromMilliseconds(2000);

using Candidates = std::vector<WorkerRow*>;

JobTaskKey
TaskOf(const ReadyKey& aKey, std::uint32_t aIndex)
{
  return JobTaskKey::Create({ .mJob = aKey.mJob,
                              .mOccurrence = aKey.mOccurrence,
                              .mStep = aKey.mStep,
                              .mIndex = aIndex })
    .value();
}

/// The usable workers that the advice service allows for a step, by name.
struct AllowedWorkers
{
  /// The workers that the step has valid tickets for.
  Candidates mWithTicket;
  /// All of them; their tickets can be renewed.
  Candidates mAll;
};

/// The state of one placement pass over the ready steps.
struct Pass
{
  CellState& mState;
  Time mNow;
  Effects& mOut;
  /// The usable workers of each pool, by name, and an index of them.
  std::map<std::string, Candidates> mPools;
  std::map<std::string, absl::flat_hash_map<std::string_view, WorkerRow*>> mPoolIndexes{};
  std::size_t mPlaced{ 0 };
  /// Steps without capacity, and advice queries, by pool, so that a full pool hides no other.
  std::map<std::string, std::size_t> mMisses{};
  std::map<std::string, std::size_t> mWaitingGangs{};
  std::map<std::string, std::size_t> mQueries{};

  const Candidates& Pool(const std::string& aPool)
  {
    auto [it, isNew] = mPools.try_emplace(aPool);
    if (isNew) {
      it->second = UsableWorkers(mState, aPool, mNow);
      auto& index = mPoolIndexes[aPool];
      for (auto* worker : it->second) {
        index.emplace(worker->mRegistration.Id(), worker);
      }
    }
    return it->second;
  }

  /// @returns the usable workers of a pool that the advice service allows for a step.
  AllowedWorkers FindAllowed(const std::string& aPool, const StepAdvice& aAdvice)
  {
    Pool(aPool);
    const auto& index = mPoolIndexes.at(aPool);
    AllowedWorkers allowed;
    for (const auto& [id, until] : aAdvice.mValidUntil) {
      const auto it = index.find(id);
      if (it == index.end()) {
        continue;
      }
      allowed.mAll.push_back(it->second);
      if (IsTicketUsable(until, mNow)) {
        allowed.mWithTicket.push_back(it->second);
      }
    }
    return allowed;
  }
};

/// Counts the tasks of a step that candidates have room for; counting stops at a limit.
std::size_t
CountSlots(const Pass& aPass,
           const Candidates& aCandidates,
           const JobStep& aStep,
           const JobTaskKey& aTask,
           const StepRow& aRow,
           Time aLatestStart,
           std::size_t aLimit)
{
  std::size_t n = 0;
  for (const auto* worker : aCandidates) {
    if (n >= aLimit) {
      return n;
    }
    if (MayUseRoom(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      n += OutlookOf(*worker, aStep, aTask, aPass.mNow, aPass.mNow).mSlots;
    }
  }
  return n;
}

WorkerRow*
FindBestWorker(Pass& aPass,
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
    if (worker->mQuarantinedUntil > Time() && !worker->mRuns.empty()) {
      continue;
    }
    if (!MayUseRoom(aPass.mState, *worker, aStep, row, latestStart, aPass.mNow)) {
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
Assign(Pass& aPass, JobRow& aJob, const JobTaskKey& aTask, WorkerRow& aWorker, std::uint32_t aRun)
{
  ChangeProgress(aPass.mState, aTask, [&](auto& aFields) {
    aFields.mPhase = JobTaskPhase::Assigned;
    aFields.mRun = aRun;
    aFields.mWorker = aWorker.mRegistration.Id();
    aFields.mWorkerProcessStart = aWorker.mProcessStart;
  });
  const RunId run{ aTask, aRun };
  auto row = MakeRunRow(StepOf(aJob, aTask.Step()), RunPhase::Planned, aPass.mNow);
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
PlaceIndependentTasks(Pass& aPass,
                      JobRow& aJob,
                      const ReadyKey& aKey,
                      const Candidates& aCandidates)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto first = occurrence.mSteps[aKey.mStep].mFirst;
  for (std::uint32_t i = 0; i < step.Count(); ++i) {
    const auto& row = occurrence.mTasks[first + i];
    if (row.mProgress.Phase() != JobTaskPhase::Waiting || row.mLiveRuns > 0) {
      continue;
    }
    const auto task = TaskOf(aKey, i);
    auto* worker = FindBestWorker(aPass, aCandidates, step, task, nullptr);
    if (worker == nullptr) {
      return;
    }
    Assign(aPass, aJob, task, *worker, row.mProgress.Run() + 1);
  }
}

/// Finds a worker for each gang member, while the capacity for the earlier members is reserved.
/// @returns the workers in the order of the members; fewer than members where capacity is short.
std::vector<WorkerRow*>
FindGangWorkers(Pass& aPass,
                const JobRow& aJob,
                const ReadyKey& aKey,
                const Candidates& aCandidates,
                const RackId* aRack)
{
  const auto& step = StepOf(aJob, aKey.mStep);
  std::vector<WorkerRow*> hosts;
  for (std::uint32_t i = 0; i < step.Count(); ++i) {
    const auto task = TaskOf(aKey, i);
    auto* worker = FindBestWorker(aPass, aCandidates, step, task, aRack);
    if (worker == nullptr) {
      break;
    }
    worker->mRuns.emplace(RunId{ task, std::numeric_limits<std::uint32_t>::max() }, RunRow());
    worker->mUsed = Plus(worker->mUsed, step.Demand());
    hosts.push_back(worker);
  }
  for (std::uint32_t i = 0; i < hosts.size(); ++i) {
    const auto task = TaskOf(aKey, i);
    hosts[i]->mRuns.erase(RunId{ task, std::numeric_limits<std::uint32_t>::max() });
    hosts[i]->mUsed = Minus(hosts[i]->mUsed, step.Demand());
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
PlaceGang(Pass& aPass, JobRow& aJob, const ReadyKey& aKey, const Candidates& aCandidates)
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
  std::uint32_t run = 0;
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto first = occurrence.mSteps[aKey.mStep].mFirst;
  for (std::uint32_t i = 0; i < step.Count(); ++i) {
    run = std::max(run, occurrence.mTasks[first + i].mProgress.Run());
  }
  for (std::uint32_t i = 0; i < step.Count(); ++i) {
    const auto task = TaskOf(aKey, i);
    Assign(aPass, aJob, task, *hosts[i], run + 1);
  }
}

/// Holds room for a gang that can't start yet on some of the workers that it may run on.
/// @returns how many workers are held; none where the gang can't be expected to start soon.
std::size_t
HoldRoom(Pass& aPass,
         const JobStep& aStep,
         const JobTaskKey& aTask,
         StepRow& aRow,
         Time aLatestStart,
         const Candidates& aCandidates)
{
  aRow.mHold = ++aPass.mState.mLastHold;
  const auto soon = aPass.mNow + kHoldTime;
  std::vector<HostOutlook> outlooks;
  Candidates usable;
  for (auto* worker : aCandidates) {
    if (MayUseRoom(aPass.mState, *worker, aStep, aRow, aLatestStart, aPass.mNow)) {
      usable.push_back(worker);
      outlooks.push_back(OutlookOf(*worker, aStep, aTask, soon, aPass.mNow));
    }
  }
  const auto held = ChooseHeldWorkers(outlooks, aStep.Count());
  for (const auto i : held) {
    HoldWorker(aPass.mState, *usable[i], aRow.mHold, soon);
  }
  return held.size();
}

/// Says at most once in kWaitReportInterval why a step waits.
void
ReportWait(Pass& aPass,
           const ReadyKey& aKey,
           StepRow& aRow,
           const JobStep& aStep,
           Time aLatestStart,
           const AllowedWorkers& aAllowed,
           std::size_t aHeld)
{
  if (aPass.mNow < aRow.mNextWaitReport) {
    return;
  }
  aRow.mNextWaitReport = aPass.mNow + kWaitReportInterval;
  const auto task = TaskOf(aKey, 0);
  const auto room =
    CountSlots(aPass, aAllowed.mAll, aStep, task, aRow, aLatestStart, kNoLimitOfSlots);
  const auto usable =
    CountSlots(aPass, aAllowed.mWithTicket, aStep, task, aRow, aLatestStart, kNoLimitOfSlots);
  const char* reason = room < aStep.Count() ? "room" : "advice";
  Log(aPass.mOut,
      "step.waiting",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("for=",
                   reason,
                   " tasks=",
                   aStep.Count(),
                   " slots=",
                   room,
                   " slots_with_ticket=",
                   usable,
                   " allowed_workers=",
                   aAllowed.mAll.size(),
                   " held_workers=",
                   aHeld,
                   " until_latest_start_ms=",
                   (aLatestStart - aPass.mNow).Milliseconds()));
}

/// Places what can be placed of a step.
/// @returns whether there was room for it: for all members of a gang, or for one task.
bool
PlaceWaitingTasks(Pass& aPass,
                  JobRow& aJob,
                  const ReadyKey& aKey,
                  Time aLatestStart,
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
    PlaceIndependentTasks(aPass, aJob, aKey, aCandidates);
  }
  RefreshStep(aPass.mState, aJob, aKey.mOccurrence, aKey.mStep);
  return aPass.mPlaced > placed;
}

void
PlaceStep(Pass& aPass, const ReadyKey& aKey)
{
  auto* job = FindJob(aPass.mState, aKey.mJob);
  if (job == nullptr) {
    return;
  }
  const auto& policy = PolicyOf(aPass.mState, *job);
  const auto& step = StepOf(*job, aKey.mStep);
  auto& misses = step.Gang() ? aPass.mWaitingGangs[policy.Pool()] : aPass.mMisses[policy.Pool()];
  if (misses >= (step.Gang() ? kMaxWaitingGangsPerPass : kMaxMissesPerPass)) {
    return;
  }
  const auto& occurrence = job->mOccurrences.at(aKey.mOccurrence);
  auto& row = job->mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  const auto latestStart = LatestStart(*job, occurrence, aKey.mStep);
  const bool needsAdvice = policy.Advice().has_value();
  const auto allowed =
    needsAdvice ? aPass.FindAllowed(policy.Pool(), row.mAdvice) : AllowedWorkers();
  const auto& candidates = needsAdvice ? allowed.mWithTicket : aPass.Pool(policy.Pool());
  if (!PlaceWaitingTasks(aPass, *job, aKey, latestStart, candidates)) {
    misses += candidates.empty() ? 0 : 1;
    const bool mayHold = step.Gang() && CanBeOnTime(*job, occurrence, aKey.mStep, aPass.mNow);
    const auto held =
      mayHold
        ? HoldRoom(
            aPass, step, TaskOf(aKey, 0), row, latestStart, needsAdvice ? allowed.mAll : candidates)
        : 0;
    if (step.Gang() && needsAdvice) {
      ReportWait(aPass, aKey, row, step, latestStart, allowed, held);
    }
  }
  if (needsAdvice && row.mReady && aPass.mQueries[policy.Pool()] < kMaxQueriesPerPass &&
      MayQueryAdvice(row.mAdvice, aPass.mNow)) {
    ++aPass.mQueries[policy.Pool()];
    QueryAdvice(aPass.mState,
                *job,
                aKey.mOccurrence,
                aKey.mStep,
                aPass.Pool(policy.Pool()),
                aPass.mNow,
                aPass.mOut);
  }
}

} // namespace

bool
IsUsable(const WorkerRow& aWorker, const std::string& aPool, Time aNow)
{
  const bool isListed = aWorker.mRegistered || (aWorker.mDeregisteredAt > Time() &&
                                                aNow < aWorker.mDeregisteredAt + kRegistryGrace);
  if (!isListed || aWorker.mRegistration.Draining() || aWorker.mEvacuating ||
      aWorker.mRegistration.Pool() != aPool || aWorker.mHealth != WorkerHealth::Reachable ||
      aWorker.mPollFailures > 0) {
    return false;
  }
  if (aWorker.mQuarantinedUntil > Time()) {
    // After its quarantine a worker is probed with one run at a time.
    return aNow >= aWorker.mQuarantinedUntil && aWorker.mRuns.empty();
  }
  return true;
}

bool
HasLabel(const WorkerRow& aWorker, const std::string& aLabel)
{
  const auto& labels = aWorker.mRegistration.Labels();
  return aLabel.empty() || std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

Time
LatestStart(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep)
{
  const auto objective = aJob.mObjective - aJob.mJob.Accepted();
  return aOccurrence.mDue + objective - aOccurrence.mSteps[aStep].mCriticalPath;
}

bool
CanBeOnTime(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow)
{
  return aOccurrence.mSteps[aStep].mUrgency == Urgency::OnTime &&
         aNow < LatestStart(aJob, aOccurrence, aStep) +
                  StepOf(aJob, aStep).Estimate() / kLateStartDivisor;
}

double
SpareFactor(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow)
{
  const auto estimate = StepOf(aJob, aStep).Estimate();
  const auto left = LatestStart(aJob, aOccurrence, aStep) + estimate - aNow;
  return static_cast<double>(left.Milliseconds()) /
         static_cast<double>(std::max<std::int64_t>(1, estimate.Milliseconds()));
}

Suitability
SuitabilityOf(const CellState& aState,
              const WorkerRow& aWorker,
              const JobStep& aStep,
              double aSpare)
{
  auto slowness = aWorker.mSlowness;
  if (!aStep.DataRack().IsEmpty() && aStep.DataRack() != aWorker.mRegistration.Rack()) {
    slowness *= aState.mSettings.RemoteSlowdown();
  }
  const auto speed = std::llround(slowness / kSpeedClassWidth);
  const bool isQuickEnough = slowness * kSpeedMargin <= aSpare;
  return isQuickEnough ? Suitability{ 0, -speed } : Suitability{ 1, speed };
}

std::vector<WorkerRow*>
UsableWorkers(CellState& aState, const std::string& aPool, Time aNow)
{
  std::vector<WorkerRow*> usable;
  for (auto& [id, worker] : aState.mWorkers) {
    if (IsUsable(worker, aPool, aNow)) {
      usable.push_back(&worker);
    }
  }
  return usable;
}

bool
Interferes(const WorkerRow& aWorker, const JobStep& aStep)
{
  const bool isLatencySensitive = aStep.TailTarget() > Time();
  if (!isLatencySensitive && !aStep.Scavenging()) {
    return false;
  }
  return std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
    return isLatencySensitive ? aEntry.second.mIsScavenging : aEntry.second.mIsLatencySensitive;
  });
}

bool
CanHost(const WorkerRow& aWorker, const JobStep& aStep)
{
  return HasLabel(aWorker, aStep.RequiredLabel()) &&
         Fits(EffectiveDemand(aStep), FreeCapacity(aWorker)) && !Interferes(aWorker, aStep);
}

std::size_t
PlaceTasks(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mStoreLostAt != Time::Never()) {
    // Nothing can be started before it is stored, and what is placed now would be out of date then.
    return 0;
  }
  aState.mPlacementNeeded = false;
  ++aState.mPlacementPass;
  Pass pass{ .mState = aState, .mNow = aNow, .mOut = aOut, .mPools = {} };
  std::vector<ReadyKey> keys;
  for (const auto& key : aState.mReady) {
    keys.push_back(key);
    if (keys.size() == kMaxStepsPerPass) {
      break;
    }
  }
  std::size_t gangs = 0;
  for (const auto& key : keys) {
    PlaceStep(pass, key);
  }
  for (const auto& [pool, waiting] : pass.mWaitingGangs) {
    gangs += waiting;
  }
  aState.mNextPlacement = aNow + kPassInterval +
                          Time::FromMilliseconds(static_cast<std::int64_t>(gangs) / kGangsPerMilli);
  return pass.mPlaced;
}

} // namespace by::detail
