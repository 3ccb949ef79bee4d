#include "by_cell/detail/AdviceSelection.h"

#include <algorithm>
#include <tuple>

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Tables.h"
#include "by_queueing/AdviceRound.h"
#include "by_queueing/GangRound.h"

namespace by::detail {

namespace {

/// The number of workers that the answer time of a round is estimated for.
constexpr std::size_t kUsualQueriedWorkers = 30;
/// How long the tickets of a round should be usable together.
constexpr Time kUseTime = Time::FromMilliseconds(300);
/// The share of a ticket's validity after which the capacity of a queried worker counts.
constexpr std::int64_t kValidityDivisor = 2;
/// Less than this part of a step's waiting tasks is not worth a query.
constexpr std::size_t kFewTasksDivisor = 4;
constexpr std::size_t kHashFactor = 31;

/// The step that queries are sent for.
struct Subject
{
  const CellState& mState;
  const JobRow& mJob;
  const OccurrenceRow& mOccurrence;
  const StepRow& mRow;
  std::uint32_t mStep;
  /// The first task of the step.
  JobTaskKey mTask;
  Time mNow;
};

/// A worker that a query may list.
struct Option
{
  AdviceCandidate mCandidate;
  bool mIsAllowed;
  const WorkerRow* mWorker;
  Suitability mSuitability;
};

using Options = std::vector<Option>;

/// When the tickets of the next round arrive.
struct RoundTimes
{
  /// A ticket that expires before this time is renewed by the round, since a gang needs all of its
  /// tickets at the same time.
  Time mRenewed;
  /// When the free capacity of a worker is forecast for.
  Time mSoon;
};

RoundTimes
TimesOfRound(const AdvicePolicy& aPolicy, Time aNow)
{
  const auto answered = aNow + AnswerTime(CostOf(aPolicy), kUsualQueriedWorkers);
  return { answered + kUseTime, answered + aPolicy.Validity() / kValidityDivisor };
}

/// Begins the list of each job at another place, so that jobs that arrive together do not list the
/// same ones of equally good workers.
void
SpreadOptions(Options& aOptions, const std::string& aJob)
{
  std::size_t offset = 0;
  for (const char c : aJob) {
    offset = offset * kHashFactor + static_cast<unsigned char>(c);
  }
  if (!aOptions.empty()) {
    offset %= aOptions.size();
    std::rotate(
      aOptions.begin(), aOptions.begin() + static_cast<std::ptrdiff_t>(offset), aOptions.end());
  }
}

/// @returns the workers that are not denied and will have capacity when an answer arrives.
Options
ListOptions(const Subject& aSubject,
            const std::vector<WorkerRow*>& aCandidates,
            const RoundTimes& aTimes)
{
  const auto& [state, job, occurrence, row, index, task, now] = aSubject;
  const auto& step = StepOf(job, index);
  const auto spare = SpareFactor(job, occurrence, index, now);
  const auto latestStart = LatestStart(job, occurrence, index);
  const auto share = AllowedShareOf(state, job);
  Options options;
  for (const auto* worker : aCandidates) {
    const auto& id = worker->mRegistration.Id();
    if (row.mAdvice.mDeniedWorkers.contains(id) ||
        HasTicket(row.mAdvice, *worker, aTimes.mRenewed) ||
        !MayUseCapacity(state, *worker, step, row, latestStart, now)) {
      continue;
    }
    const auto forecast = ForecastSlots(*worker, step, task, aTimes.mSoon, now);
    const bool isAllowed = row.mAdvice.mTickets.contains(id);
    if (forecast.mSlotsSoon > 0) {
      options.push_back({ { forecast.mSlots, forecast.mSlotsSoon, isAllowed ? 1.0 : share },
                          isAllowed,
                          worker,
                          SuitabilityOf(state, *worker, step, spare) });
    }
  }
  SpreadOptions(options, job.mJob.Id());
  return options;
}

/// @returns how many waiting tasks of a step the workers with a ticket have no capacity for.
/// A gang needs it now; an independent task can wait for it while the ticket is valid.
std::size_t
CountTasksWithoutTicket(const Subject& aSubject, const RoundTimes& aTimes)
{
  const auto& [state, job, occurrence, row, index, task, now] = aSubject;
  const auto& step = StepOf(job, index);
  const auto first = occurrence.mTasks.begin() + row.mFirst;
  const auto waiting =
    static_cast<std::size_t>(std::count_if(first, first + row.mCount, [](const TaskRow& aTask) {
      return aTask.mProgress.Phase() == JobTaskPhase::Waiting && aTask.mLiveRuns == 0;
    }));
  const auto& pool = PolicyOf(state, job).Pool();
  const auto latestStart = LatestStart(job, occurrence, index);
  auto tasks = waiting;
  for (const auto& [id, ticket] : row.mAdvice.mTickets) {
    const auto worker = state.mWorkers.find(id);
    if (tasks == 0 || worker == state.mWorkers.end() ||
        !HasTicket(row.mAdvice, worker->second, aTimes.mRenewed) ||
        !IsUsable(worker->second, pool, now) ||
        !MayUseCapacity(state, worker->second, step, row, latestStart, now)) {
      continue;
    }
    const auto soon = step.Gang() ? now : aTimes.mSoon;
    const auto forecast = ForecastSlots(worker->second, step, task, soon, now);
    tasks -= std::min<std::size_t>(tasks, forecast.mSlotsSoon);
  }
  // The last few independent tasks wait for the workers with a ticket.
  return step.Gang() || tasks * kFewTasksDivisor >= waiting ? tasks : 0;
}

std::vector<AdviceCandidate>
CandidatesOf(const Options& aOptions)
{
  std::vector<AdviceCandidate> candidates;
  for (const auto& option : aOptions) {
    candidates.push_back(option.mCandidate);
  }
  return candidates;
}

void
AppendNames(const Options& aOptions, std::size_t aCount, std::vector<std::string>& aNames)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aNames.push_back(aOptions[i].mWorker->mRegistration.Id());
  }
}

/// A gang needs capacity for all tasks at the same time, so workers with much of it come first.
std::vector<std::string>
SelectForGang(Options aOptions, std::size_t aTasks, std::size_t aFullQuery)
{
  // The options are listed by name and offset, so that a stable sort gives equal decisions in every
  // process.
  std::stable_sort(aOptions.begin(), aOptions.end(), [](const Option& aLeft, const Option& aRight) {
    const auto keyOf = [](const Option& aOption) {
      return std::tuple(aOption.mCandidate.mSlots == 0,
                        aOption.mSuitability.first,
                        -static_cast<std::int64_t>(aOption.mCandidate.mSlots),
                        -static_cast<std::int64_t>(aOption.mCandidate.mSlotsSoon),
                        aOption.mSuitability.second);
    };
    return keyOf(aLeft) < keyOf(aRight);
  });
  const auto middle = std::stable_partition(
    aOptions.begin(), aOptions.end(), [](const Option& aOption) { return aOption.mIsAllowed; });
  const Options allowed(aOptions.begin(), middle);
  const Options unknown(middle, aOptions.end());
  const auto round =
    PlanGangRound(CandidatesOf(allowed), CandidatesOf(unknown), aTasks, aFullQuery);
  std::vector<std::string> names;
  AppendNames(allowed, round.mRenewed, names);
  AppendNames(unknown, round.mUnknown, names);
  return names;
}

/// An independent task takes the worker that suits it best, so that workers with much
/// capacity stay free. While no worker has capacity there is nothing to query.
std::vector<std::string>
SelectForTasks(Options aOptions, std::size_t aTasks)
{
  std::stable_sort(aOptions.begin(), aOptions.end(), [](const Option& aLeft, const Option& aRight) {
    const auto keyOf = [](const Option& aOption) {
      return std::tuple(aOption.mCandidate.mSlots == 0,
                        !aOption.mIsAllowed,
                        aOption.mSuitability,
                        -FreeCapacity(*aOption.mWorker).CpuMillis());
    };
    return keyOf(aLeft) < keyOf(aRight);
  });
  if (aOptions.empty() || aOptions.front().mCandidate.mSlots == 0) {
    return {};
  }
  std::vector<std::string> names;
  AppendNames(aOptions, CountWorkersForTasks(aOptions.size(), aTasks), names);
  return names;
}

} // namespace

AdviceCost
CostOf(const AdvicePolicy& aPolicy)
{
  return { aPolicy.DecisionUs(), aPolicy.WorkerUs() };
}

std::vector<std::string>
SelectWorkers(const CellState& aState,
              const JobRow& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep,
              const AdvicePolicy& aPolicy,
              const std::vector<WorkerRow*>& aCandidates,
              Time aNow)
{
  const auto& occurrence = aJob.mOccurrences.at(aOccurrence);
  const auto task =
    JobTaskKey::Create({ .mJob = aJob.mJob.Id(), .mOccurrence = aOccurrence, .mStep = aStep })
      .value();
  const Subject subject{ aState, aJob, occurrence, occurrence.mSteps[aStep], aStep, task, aNow };
  const auto times = TimesOfRound(aPolicy, aNow);
  const auto tasks = CountTasksWithoutTicket(subject, times);
  if (tasks == 0) {
    return {};
  }
  auto options = ListOptions(subject, aCandidates, times);
  if (StepOf(aJob, aStep).Gang()) {
    return SelectForGang(std::move(options), tasks, FullQuerySize(CostOf(aPolicy)));
  }
  return SelectForTasks(std::move(options), tasks);
}

} // namespace by::detail
