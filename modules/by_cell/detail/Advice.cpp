#include "by_cell/detail/Advice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/AdviceSelection.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Suitability.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_queueing/AdviceRound.h"

namespace by::detail {

namespace {

/// Minimum remaining validity of a ticket, so that the start arrives in time.
constexpr Time kTicketMargin = Time::FromMilliseconds(150);
/// Time for an answer beyond the decision itself: hops between nodes and queueing.
constexpr Time kAnswerMargin = Time::FromMilliseconds(600);
/// Minimum interval between rounds of queries on one step.
constexpr Time kQueryInterval = Time::FromMilliseconds(50);
/// Delay before a round without a free node is tried again.
constexpr Time kQueryRetryDelay = Time::FromMilliseconds(200);
/// Queries with a longer decision time leave one in this many nodes idle for short ones.
constexpr std::size_t kIdleNodeDivisor = 10;
/// Open queries per node: the service answers one of them, and the second waits there meanwhile.
constexpr std::size_t kMaxOpenQueries = 2;
/// Queries with a longer decision time are kept off the last idle nodes, so that short ones need
/// not wait behind them.
constexpr Time kLongQuery = Time::FromMilliseconds(100);
/// The number of queried workers from which on older answers count less.
constexpr double kShareSamples = 400.0;

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
CountIdleProxies(CellState& aState, Time aNow)
{
  std::size_t idle = 0;
  for (auto& proxy : aState.mAdviceProxies) {
    RemoveExpiredQueries(proxy, aNow);
    idle += proxy.mOpenQueries.empty() ? 1 : 0;
  }
  return idle;
}

std::vector<Time>
ProcessStartsOf(const CellState& aState, const std::vector<std::string>& aWorkers)
{
  std::vector<Time> starts;
  starts.reserve(aWorkers.size());
  for (const auto& worker : aWorkers) {
    starts.push_back(aState.mWorkers.at(worker).mProcessStart);
  }
  return starts;
}

/// Sends a query through a free node.
/// @returns whether a node was free.
bool
SendQuery(CellState& aState,
          const JobRow& aJob,
          std::uint32_t aOccurrence,
          std::uint32_t aStep,
          StepAdvice& aAdvice,
          std::vector<std::string> aWorkers,
          Time aNow,
          Effects& aOut)
{
  const auto decisionTime = AnswerTime(CostOf(*PolicyOf(aState, aJob).Advice()), aWorkers.size());
  auto* proxy = FindFreeProxy(aState, decisionTime, aNow);
  if (proxy == nullptr) {
    return false;
  }
  const auto timeout =
    decisionTime * static_cast<std::int64_t>(proxy->mOpenQueries.size() + 1) + kAnswerMargin;
  aAdvice.mOpenQueries.push_back(
    { proxy->mNode, aNow + timeout, aWorkers, ProcessStartsOf(aState, aWorkers) });
  proxy->mOpenQueries.push_back(aNow + timeout);
  Log(aOut,
      "advice.asked",
      absl::StrCat(aJob.mJob.Id(), ".", aOccurrence, ".", aStep),
      absl::StrCat("through=",
                   proxy->mNode,
                   " workers=",
                   aWorkers.size(),
                   " ahead=",
                   proxy->mOpenQueries.size() - 1,
                   " takes_ms=",
                   decisionTime.Milliseconds()));
  auto query = by::RequestAdvice::Create({ .mJob = aJob.mJob.Id(),
                                           .mOccurrence = aOccurrence,
                                           .mStep = aStep,
                                           .mWorkers = std::move(aWorkers),
                                           .mTimeout = timeout })
                 .value();
  if (proxy->mNode == aState.mNode) {
    Emit(aOut, std::move(query));
    return true;
  }
  Emit(
    aOut,
    SendToMember::Create({ .mNode = proxy->mNode,
                           .mMessage = LinkMessage::Create({ .mBody = std::move(query) }).value(),
                           .mLink = proxy->mLink })
      .value());
  return true;
}

} // namespace

const WorkerTicket*
FindTicket(const StepAdvice& aAdvice, const WorkerRow& aWorker)
{
  const auto it = aAdvice.mTickets.find(aWorker.mRegistration.Id());
  const bool isOfProcess =
    it != aAdvice.mTickets.end() && it->second.mProcessStart == aWorker.mProcessStart;
  return isOfProcess ? &it->second : nullptr;
}

bool
HasTicket(const StepAdvice& aAdvice, const WorkerRow& aWorker, Time aNow)
{
  const auto* ticket = FindTicket(aAdvice, aWorker);
  return ticket != nullptr && aNow + kTicketMargin < ticket->mValidUntil;
}

bool
MayQueryAdvice(const StepAdvice& aAdvice, Time aNow)
{
  return aAdvice.mNextQuery <= aNow &&
         std::none_of(aAdvice.mOpenQueries.begin(),
                      aAdvice.mOpenQueries.end(),
                      [&](const AdviceQuery& aQuery) { return aQuery.mDeadline > aNow; });
}

double
AllowedShareOf(const CellState& aState, const JobRow& aJob)
{
  const auto& queue = aJob.mJob.Queue();
  const auto it = aState.mAdviceShares.find({ queue.Host(), queue.PathPrefix() });
  const auto share = it == aState.mAdviceShares.end() ? AdviceShare() : it->second;
  return share.mAllowed / share.mQueried;
}

void
UpdateAllowedShare(CellState& aState,
                   const JobRow& aJob,
                   std::size_t aQueried,
                   std::size_t aAllowed)
{
  const auto& queue = aJob.mJob.Queue();
  auto& share = aState.mAdviceShares[{ queue.Host(), queue.PathPrefix() }];
  share.mQueried += static_cast<double>(aQueried);
  share.mAllowed += static_cast<double>(aAllowed);
  if (share.mQueried > kShareSamples) {
    share.mQueried /= 2;
    share.mAllowed /= 2;
  }
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

std::optional<AdviceQuery>
CloseAdviceQuery(CellState& aState, StepAdvice& aAdvice, const std::vector<std::string>& aWorkers)
{
  auto& open = aAdvice.mOpenQueries;
  const auto query = std::find_if(open.begin(), open.end(), [&](const AdviceQuery& aQuery) {
    return aQuery.mWorkers == aWorkers;
  });
  if (query == open.end()) {
    return std::nullopt;
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
  auto closed = std::move(*query);
  open.erase(query);
  return closed;
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
      if (ArePredecessorsDone(aJob, occurrence, s) &&
          QuotaAllowsStart(aState, aJob, StepOf(aJob, s))) {
        QueryAdvice(aState, aJob, index, s, candidates, aNow, aOut);
      }
    }
  }
}

bool
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
    return true;
  }
  advice.mNextQuery = aNow + kQueryInterval;
  std::erase_if(advice.mOpenQueries,
                [&](const AdviceQuery& aQuery) { return aQuery.mDeadline <= aNow; });
  const auto& occurrence = aJob.mOccurrences.at(aOccurrence);
  const auto idle = CountIdleProxies(aState, aNow);
  const auto nodes = aState.mAdviceProxies.size();
  if (!CanBeOnTime(aJob, occurrence, aStep, aNow) && 2 * idle < nodes) {
    // Jobs that can be on time need the nodes more.
    return true;
  }
  const auto selected = SelectWorkers(aState, aJob, aOccurrence, aStep, *policy, aCandidates, aNow);
  auto next = selected.begin();
  for (const auto size : SplitQueries(CostOf(*policy), selected.size(), idle, nodes)) {
    const auto last = next + static_cast<std::ptrdiff_t>(size);
    if (!SendQuery(aState, aJob, aOccurrence, aStep, advice, { next, last }, aNow, aOut)) {
      break;
    }
    next = last;
    advice.mNextQuery = aNow + kQueryRetryDelay;
  }
  return !selected.empty();
}

} // namespace by::detail
