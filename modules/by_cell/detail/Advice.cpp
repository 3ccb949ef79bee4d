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

/// A ticket must be valid for this much longer, so that the start arrives in time.
constexpr Time kTicketMargin = Time::FromMilliseconds(150);
/// What an answer takes beyond its own time: hops between nodes and waiting.
constexpr Time kAdviceSlack = Time::FromMilliseconds(600);
/// Pause between questions on one step.
constexpr Time kAskPause = Time::FromMilliseconds(50);
/// Pause after a question that nobody answered.
constexpr Time kAskRetry = Time::FromMilliseconds(200);
/// Workers asked about at least; a call's fixed time outweighs a few more names.
constexpr std::size_t kFewestAsked = 6;
/// Workers asked about at most; the queues' objectives count a call on this many.
constexpr std::size_t kMostAsked = 30;
/// The service answers one question of a node at a time; a second one waits there meanwhile.
constexpr std::size_t kOpenQuestions = 2;
/// A question that takes longer than this is kept off the last nodes that are free, so that short
/// ones need not wait behind it.
constexpr Time kLongQuestion = Time::FromMilliseconds(100);
constexpr std::int64_t kMicrosInMilli = 1000;

void
ForgetLostQuestions(AdviserRow& aAdviser, Time aNow)
{
  std::erase_if(aAdviser.mOpen, [&](Time aGiveUpAt) { return aGiveUpAt < aNow; });
}

/// Picks the node with the fewest open questions.
AdviserRow*
FreeAdviser(CellState& aState, Time aTakes, Time aNow)
{
  const auto limit = aTakes > kLongQuestion ? std::size_t{ 1 } : kOpenQuestions;
  std::size_t idle = 0;
  AdviserRow* best = nullptr;
  for (auto& adviser : aState.mAdvisers) {
    ForgetLostQuestions(adviser, aNow);
    idle += adviser.mOpen.empty() ? 1 : 0;
    if (adviser.mOpen.size() < limit &&
        (best == nullptr || adviser.mOpen.size() < best->mOpen.size())) {
      best = &adviser;
    }
  }
  const bool isLast = aTakes > kLongQuestion && idle < 2 && aState.mAdvisers.size() > 2;
  return isLast ? nullptr : best;
}

std::size_t
CountToAsk(const JobStep& aStep)
{
  const std::size_t tasks = aStep.Count();
  return std::clamp(2 * tasks + 4, kFewestAsked, kMostAsked);
}

Time
TimeOf(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  const auto us = aPolicy.DecisionUs() + aPolicy.WorkerUs() * static_cast<std::int64_t>(aWorkers);
  return Time::FromMilliseconds(us / kMicrosInMilli + 1);
}

/// Picks workers that are not known to be barred: those with room first, of these the ones that
/// are known to be allowed. Without enough room for the step there is nothing to ask.
std::vector<std::string>
WorkersToAsk(const CellState& aState,
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
  std::size_t withRoom = 0;
  for (const auto* worker : aCandidates) {
    const auto& id = worker->mRegistration.Id();
    if (aAdvice.mBarred.contains(id) || HasTicket(aAdvice, id, aNow + kAdviceSlack) ||
        !HasLabel(*worker, aStep.RequiredLabel())) {
      continue;
    }
    const bool isFull = !CanHost(*worker, aStep);
    withRoom += isFull ? 0 : 1;
    found.push_back({ isFull,
                      !aAdvice.mTickets.contains(id),
                      SuitabilityOf(aState, *worker, aStep, aSpare),
                      FreeOn(*worker).CpuMillis(),
                      &id });
  }
  if (withRoom == 0) {
    return {};
  }
  const auto n = std::min(found.size(), CountToAsk(aStep));
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
HasTicket(const StepAdvice& aAdvice, const std::string& aWorker, Time aNow)
{
  const auto it = aAdvice.mValidUntil.find(aWorker);
  return it != aAdvice.mValidUntil.end() && aNow + kTicketMargin < it->second;
}

bool
CanAsk(const CellState& aState, Time aNow)
{
  return std::any_of(
    aState.mAdvisers.begin(), aState.mAdvisers.end(), [&](const AdviserRow& aAdviser) {
      const auto open = std::count_if(aAdviser.mOpen.begin(),
                                      aAdviser.mOpen.end(),
                                      [&](Time aGiveUpAt) { return aGiveUpAt >= aNow; });
      return static_cast<std::size_t>(open) < kOpenQuestions;
    });
}

void
CloseQuestion(CellState& aState, StepAdvice& aAdvice)
{
  if (!aAdvice.mOpen) {
    return;
  }
  aAdvice.mOpen = false;
  for (auto& adviser : aState.mAdvisers) {
    if (adviser.mNode == aAdvice.mThrough) {
      const auto it = std::find(adviser.mOpen.begin(), adviser.mOpen.end(), aAdvice.mGiveUpAt);
      if (it != adviser.mOpen.end()) {
        adviser.mOpen.erase(it);
      }
    }
  }
}

void
AskForFirstSteps(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut)
{
  const auto& policy = PolicyOf(aState, aJob);
  if (!policy.Advice() || !CanAsk(aState, aNow)) {
    return;
  }
  const auto candidates = UsableWorkers(aState, policy.Pool(), aNow);
  for (auto& [index, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      if (IsOpen(aJob, occurrence, s)) {
        AskForStep(aState, aJob, index, s, candidates, aNow, aOut);
      }
    }
  }
}

void
AskForStep(CellState& aState,
           JobRow& aJob,
           std::uint32_t aOccurrence,
           std::uint32_t aStep,
           const std::vector<WorkerRow*>& aCandidates,
           Time aNow,
           Effects& aOut)
{
  const auto& policy = PolicyOf(aState, aJob).Advice();
  auto& advice = aJob.mOccurrences.at(aOccurrence).mSteps[aStep].mAdvice;
  if (!policy || advice.mNextAsk > aNow || (advice.mOpen && aNow < advice.mGiveUpAt) ||
      !CanAsk(aState, aNow)) {
    return;
  }
  const auto spare = SpareFactor(aJob, aJob.mOccurrences.at(aOccurrence), aStep, aNow);
  auto workers = WorkersToAsk(aState, StepOf(aJob, aStep), spare, advice, aCandidates, aNow);
  const auto takes = TimeOf(*policy, workers.size());
  auto* adviser = workers.empty() ? nullptr : FreeAdviser(aState, takes, aNow);
  advice.mNextAsk = aNow + kAskPause;
  if (adviser == nullptr) {
    return;
  }
  const auto patience = takes * static_cast<std::int64_t>(adviser->mOpen.size() + 1) + kAdviceSlack;
  advice.mOpen = true;
  advice.mThrough = adviser->mNode;
  advice.mGiveUpAt = aNow + patience;
  advice.mNextAsk = aNow + kAskRetry;
  adviser->mOpen.push_back(advice.mGiveUpAt);
  Log(aOut,
      "advice.asked",
      absl::StrCat(aJob.mJob.Id(), ".", aOccurrence, ".", aStep),
      absl::StrCat("through=",
                   adviser->mNode,
                   " workers=",
                   workers.size(),
                   " ahead=",
                   adviser->mOpen.size() - 1,
                   " takes_ms=",
                   takes.Milliseconds()));
  auto ask = by::RequestAdvice::Create({ .mJob = aJob.mJob.Id(),
                                         .mOccurrence = aOccurrence,
                                         .mStep = aStep,
                                         .mWorkers = std::move(workers),
                                         .mTimeout = patience })
               .value();
  if (adviser->mNode == aState.mNode) {
    Emit(aOut, std::move(ask));
    return;
  }
  Emit(
    aOut,
    SendToMember::Create({ .mNode = adviser->mNode,
                           .mMessage = LinkMessage::Create({ .mBody = std::move(ask) }).value() })
      .value());
}

} // namespace by::detail
