#include "by_cell/detail/Advice.h"

#include <algorithm>
#include <tuple>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Placement.h"
#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// Minimum remaining validity of a ticket, so that the start arrives in time.
constexpr Time kTicketMargin = Time::FromMilliseconds(150);
/// Time for an answer beyond the decision itself: hops between nodes and queueing.
constexpr Time kAnswerMargin = Time::FromMilliseconds(600);
/// Minimum interval between queries on one step.
constexpr Time kQueryInterval = Time::FromMilliseconds(50);
/// Delay before an unanswered query is repeated.
constexpr Time kQueryRetryDelay = Time::FromMilliseconds(200);
/// Minimum number of workers in a query; the fixed cost of a call outweighs a few more names.
constexpr std::size_t kMinQueriedWorkers = 6;
/// Maximum number of workers in a query; the queues' objectives allow for a call with this many.
constexpr std::size_t kMaxQueriedWorkers = 30;
/// Open queries per step; a step wider than one query covers has several, through different nodes.
constexpr std::size_t kMaxQueriesPerStep = 3;
/// Queries with a longer decision time leave one in this many nodes idle for short ones.
constexpr std::size_t kIdleNodeDivisor = 4;
/// Open queries per node: the service answers one of them, and the second waits there meanwhile.
constexpr std::size_t kMaxOpenQueries = 2;
/// Queries with a longer decision time are kept off the last idle nodes, so that short ones need
/// not wait behind them.
constexpr Time kLongQuery = Time::FromMilliseconds(100);
constexpr std::int64_t kMicrosInMilli = 1000;

void
RemoveExpiredQueries(AdviceProxyRow& aProxy, Time aNow)
{
  std::erase_if(aProxy.mOpenQueries, [&](Time aDeadline) { return aDeadline < aNow; });
}

/// @returns the node with the fewest open queries, or nullptr where none may take another.
AdviceProxyRow*
FindFreeProxy(CellState& aState, Time aDecisionTime, Time aNow)
{
  const auto limit = aDecisionTime > kLongQuery ? std::size_t{ 1 } : kMaxOpenQueries;
  std::size_t idle = 0;
  AdviceProxyRow* best = nullptr;
  for (auto& proxy : aState.mAdviceProxies) {
    RemoveExpiredQueries(proxy, aNow);
    idle += proxy.mOpenQueries.empty() ? 1 : 0;
    if (proxy.mOpenQueries.size() < limit &&
        (best == nullptr || proxy.mOpenQueries.size() < best->mOpenQueries.size())) {
      best = &proxy;
    }
  }
  const auto nodes = aState.mAdviceProxies.size();
  const bool reservesIdleNode = aDecisionTime > kLongQuery && nodes > 2 &&
                                idle < std::max<std::size_t>(2, nodes / kIdleNodeDivisor);
  return reservesIdleNode ? nullptr : best;
}

std::size_t
CountWorkersToQuery(const JobStep& aStep)
{
  const std::size_t tasks = aStep.Count();
  return std::clamp(2 * tasks + 4, kMinQueriedWorkers, kMaxQueriedWorkers);
}

/// @returns how many open queries a step may have, which together cover its width.
std::size_t
MaxOpenQueries(const JobStep& aStep)
{
  const std::size_t tasks = aStep.Count();
  const auto needed = (2 * tasks + 4 + kMaxQueriedWorkers - 1) / kMaxQueriedWorkers;
  return std::clamp<std::size_t>(needed, 1, kMaxQueriesPerStep);
}

std::size_t
CountOpenQueries(const StepAdvice& aAdvice, Time aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aAdvice.mOpenQueries.begin(), aAdvice.mOpenQueries.end(), [&](const AdviceQuery& aQuery) {
      return aQuery.mDeadline > aNow;
    }));
}

Time
DecisionTime(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  const auto us = aPolicy.DecisionUs() + aPolicy.WorkerUs() * static_cast<std::int64_t>(aWorkers);
  return Time::FromMilliseconds(us / kMicrosInMilli + 1);
}

/// Selects workers that are not denied: those with free capacity first, and among these the ones
/// that were allowed before. Without capacity for the step there is nothing to query.
std::vector<std::string>
SelectWorkers(const CellState& aState,
              const JobStep& aStep,
              double aSpare,
              const StepAdvice& aAdvice,
              const std::vector<WorkerRow*>& aCandidates,
              Time aNow)
{
  struct Candidate
  {
    bool mFull;
    bool mUnknown;
    Suitability mSuitability;
    std::int64_t mFreeCpu;
    const std::string* mName;
  };
  absl::flat_hash_set<std::string_view> asked;
  for (const auto& query : aAdvice.mOpenQueries) {
    asked.insert(query.mWorkers.begin(), query.mWorkers.end());
  }
  std::vector<Candidate> found;
  std::size_t withCapacity = 0;
  for (const auto* worker : aCandidates) {
    const auto& id = worker->mRegistration.Id();
    if (aAdvice.mDeniedWorkers.contains(id) || HasTicket(aAdvice, id, aNow + kAnswerMargin) ||
        !HasLabel(*worker, aStep.RequiredLabel()) || asked.contains(id)) {
      continue;
    }
    const bool isFull = !CanHost(*worker, aStep);
    withCapacity += isFull ? 0 : 1;
    found.push_back({ isFull,
                      !aAdvice.mTickets.contains(id),
                      SuitabilityOf(aState, *worker, aStep, aSpare),
                      FreeCapacity(*worker).CpuMillis(),
                      &id });
  }
  if (withCapacity == 0) {
    return {};
  }
  const auto n = std::min(found.size(), CountWorkersToQuery(aStep));
  std::partial_sort(
    found.begin(),
    found.begin() + static_cast<std::ptrdiff_t>(n),
    found.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tie(
               aLeft.mFull, aLeft.mUnknown, aLeft.mSuitability, aRight.mFreeCpu, *aLeft.mName) <
             std::tie(
               aRight.mFull, aRight.mUnknown, aRight.mSuitability, aLeft.mFreeCpu, *aRight.mName);
    });
  std::vector<std::string> names;
  for (std::size_t i = 0; i < n; ++i) {
    names.push_back(*found[i].mName);
  }
  return names;
}

} // namespace

bool
IsTicketUsable(Time aValidUntil, Time aNow)
{
  return aNow + kTicketMargin < aValidUntil;
}

bool
HasTicket(const StepAdvice& aAdvice, const std::string& aWorker, Time aNow)
{
  const auto it = aAdvice.mValidUntil.find(aWorker);
  return it != aAdvice.mValidUntil.end() && IsTicketUsable(it->second, aNow);
}

bool
MayQueryAdvice(const JobStep& aStep, const StepAdvice& aAdvice, Time aNow)
{
  return aAdvice.mNextQuery <= aNow && CountOpenQueries(aAdvice, aNow) < MaxOpenQueries(aStep);
}

bool
CanQueryAdvice(const CellState& aState, Time aNow)
{
  return std::any_of(
    aState.mAdviceProxies.begin(), aState.mAdviceProxies.end(), [&](const AdviceProxyRow& aProxy) {
      const auto open = std::count_if(aProxy.mOpenQueries.begin(),
                                      aProxy.mOpenQueries.end(),
                                      [&](Time aDeadline) { return aDeadline >= aNow; });
      return static_cast<std::size_t>(open) < kMaxOpenQueries;
    });
}

void
CloseAdviceQuery(CellState& aState, StepAdvice& aAdvice, const std::vector<std::string>& aWorkers)
{
  auto& open = aAdvice.mOpenQueries;
  const auto query = std::find_if(open.begin(), open.end(), [&](const AdviceQuery& aQuery) {
    return aQuery.mWorkers == aWorkers;
  });
  if (query == open.end()) {
    return;
  }
  for (auto& proxy : aState.mAdviceProxies) {
    if (proxy.mNode == query->mNode) {
      const auto it =
        std::find(proxy.mOpenQueries.begin(), proxy.mOpenQueries.end(), query->mDeadline);
      if (it != proxy.mOpenQueries.end()) {
        proxy.mOpenQueries.erase(it);
      }
    }
  }
  open.erase(query);
}

void
PrefetchAdvice(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut)
{
  const auto& policy = PolicyOf(aState, aJob);
  if (!policy.Advice() || !CanQueryAdvice(aState, aNow)) {
    return;
  }
  const auto candidates = UsableWorkers(aState, policy.Pool(), aNow);
  for (auto& [index, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      if (ArePredecessorsDone(aJob, occurrence, s)) {
        QueryAdvice(aState, aJob, index, s, candidates, aNow, aOut);
      }
    }
  }
}

void
QueryAdvice(CellState& aState,
            JobRow& aJob,
            std::uint32_t aOccurrence,
            std::uint32_t aStep,
            const std::vector<WorkerRow*>& aCandidates,
            Time aNow,
            Effects& aOut)
{
  const auto& policy = PolicyOf(aState, aJob).Advice();
  auto& advice = aJob.mOccurrences.at(aOccurrence).mSteps[aStep].mAdvice;
  const auto& step = StepOf(aJob, aStep);
  if (!policy || !MayQueryAdvice(step, advice, aNow) || !CanQueryAdvice(aState, aNow)) {
    return;
  }
  advice.mNextQuery = aNow + kQueryInterval;
  std::erase_if(advice.mOpenQueries,
                [&](const AdviceQuery& aQuery) { return aQuery.mDeadline <= aNow; });
  const auto limit = CountWorkersToQuery(step);
  auto* proxy = FindFreeProxy(aState, DecisionTime(*policy, limit), aNow);
  if (proxy == nullptr) {
    return;
  }
  const auto spare = SpareFactor(aJob, aJob.mOccurrences.at(aOccurrence), aStep, aNow);
  auto workers = SelectWorkers(aState, step, spare, advice, aCandidates, aNow);
  if (workers.empty()) {
    return;
  }
  const auto decisionTime = DecisionTime(*policy, workers.size());
  const auto timeout =
    decisionTime * static_cast<std::int64_t>(proxy->mOpenQueries.size() + 1) + kAnswerMargin;
  advice.mOpenQueries.push_back({ proxy->mNode, aNow + timeout, workers });
  const bool mayHaveMore = advice.mOpenQueries.size() < MaxOpenQueries(step);
  advice.mNextQuery = mayHaveMore ? aNow : aNow + kQueryRetryDelay;
  aState.mPlacementNeeded = aState.mPlacementNeeded || mayHaveMore;
  proxy->mOpenQueries.push_back(aNow + timeout);
  Log(aOut,
      "advice.asked",
      absl::StrCat(aJob.mJob.Id(), ".", aOccurrence, ".", aStep),
      absl::StrCat("through=",
                   proxy->mNode,
                   " workers=",
                   workers.size(),
                   " ahead=",
                   proxy->mOpenQueries.size() - 1,
                   " takes_ms=",
                   decisionTime.Milliseconds()));
  auto query = by::RequestAdvice::Create({ .mJob = aJob.mJob.Id(),
                                           .mOccurrence = aOccurrence,
                                           .mStep = aStep,
                                           .mWorkers = std::move(workers),
                                           .mTimeout = timeout })
                 .value();
  if (proxy->mNode == aState.mNode) {
    Emit(aOut, std::move(query));
    return;
  }
  Emit(
    aOut,
    SendToMember::Create({ .mNode = proxy->mNode,
                           .mMessage = LinkMessage::Create({ .mBody = std::move(query) }).value() })
      .value());
}

} // namespace by::detail
