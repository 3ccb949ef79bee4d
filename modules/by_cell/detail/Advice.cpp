#include "by_cell/detail/Advice.h"

#include <algorithm>
#include <tuple>

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
  const bool reservesIdleNode =
    aDecisionTime > kLongQuery && idle < 2 && aState.mAdviceProxies.size() > 2;
  return reservesIdleNode ? nullptr : best;
}

std::size_t
CountWorkersToQuery(const JobStep& aStep)
{
  const std::size_t tasks = aStep.Count();
  return std::clamp(2 * tasks + 4, kMinQueriedWorkers, kMaxQueriedWorkers);
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
  std::vector<Candidate> found;
  std::size_t withCapacity = 0;
  for (const auto* worker : aCandidates) {
    const auto& id = worker->mRegistration.Id();
    if (aAdvice.mDeniedWorkers.contains(id) || HasTicket(aAdvice, id, aNow + kAnswerMargin) ||
        !HasLabel(*worker, aStep.RequiredLabel())) {
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
MayQueryAdvice(const StepAdvice& aAdvice, Time aNow)
{
  return aAdvice.mNextQuery <= aNow && (!aAdvice.mQueryOpen || aNow >= aAdvice.mQueryDeadline);
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
CloseAdviceQuery(CellState& aState, StepAdvice& aAdvice)
{
  if (!aAdvice.mQueryOpen) {
    return;
  }
  aAdvice.mQueryOpen = false;
  for (auto& proxy : aState.mAdviceProxies) {
    if (proxy.mNode == aAdvice.mQueryNode) {
      const auto it =
        std::find(proxy.mOpenQueries.begin(), proxy.mOpenQueries.end(), aAdvice.mQueryDeadline);
      if (it != proxy.mOpenQueries.end()) {
        proxy.mOpenQueries.erase(it);
      }
    }
  }
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
  if (!policy || !MayQueryAdvice(advice, aNow) || !CanQueryAdvice(aState, aNow)) {
    return;
  }
  advice.mNextQuery = aNow + kQueryInterval;
  const auto limit = CountWorkersToQuery(StepOf(aJob, aStep));
  auto* proxy = FindFreeProxy(aState, DecisionTime(*policy, limit), aNow);
  if (proxy == nullptr) {
    return;
  }
  const auto spare = SpareFactor(aJob, aJob.mOccurrences.at(aOccurrence), aStep, aNow);
  auto workers = SelectWorkers(aState, StepOf(aJob, aStep), spare, advice, aCandidates, aNow);
  if (workers.empty()) {
    return;
  }
  const auto decisionTime = DecisionTime(*policy, workers.size());
  const auto timeout =
    decisionTime * static_cast<std::int64_t>(proxy->mOpenQueries.size() + 1) + kAnswerMargin;
  advice.mQueryOpen = true;
  advice.mQueryNode = proxy->mNode;
  advice.mQueryDeadline = aNow + timeout;
  advice.mNextQuery = aNow + kQueryRetryDelay;
  proxy->mOpenQueries.push_back(advice.mQueryDeadline);
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
