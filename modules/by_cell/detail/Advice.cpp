#include "by_cell/detail/Advice.h"

#include <algorithm>

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
constexpr Time kAskPause = Time::FromMilliseconds(100);
/// Workers asked about at least; a call's fixed time outweighs a few more names.
constexpr std::size_t kFewestAsked = 6;
/// Workers asked about at most; the queues' objectives count a call on this many.
constexpr std::size_t kMostAsked = 30;
constexpr std::int64_t kMicrosInMilli = 1000;

AdviserRow*
LeastBusy(CellState& aState)
{
  const auto it = std::min_element(
    aState.mAdvisers.begin(), aState.mAdvisers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mBusyUntil < aRight.mBusyUntil;
    });
  return it == aState.mAdvisers.end() ? nullptr : &*it;
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

/// Picks workers with room that are not known to be barred, those known to be allowed first.
std::vector<std::string>
WorkersToAsk(CellState& aState,
             const JobRow& aJob,
             const JobStep& aStep,
             const StepAdvice& aAdvice,
             Time aNow)
{
  struct Candidate
  {
    bool mBarredBefore;
    std::int64_t mFreeCpu;
    std::string mName;
  };
  std::vector<Candidate> found;
  for (auto* worker : UsableWorkers(aState, PolicyOf(aState, aJob).Pool(), aNow)) {
    const auto& id = worker->mRegistration.Id();
    if (aAdvice.mBarred.contains(id) || HasTicket(aAdvice, id, aNow + kAdviceSlack) ||
        !CanHost(*worker, aStep)) {
      continue;
    }
    found.push_back({ !aAdvice.mTickets.contains(id), FreeOn(*worker).CpuMillis(), id });
  }
  std::sort(found.begin(), found.end(), [](const Candidate& aLeft, const Candidate& aRight) {
    return std::tie(aLeft.mBarredBefore, aRight.mFreeCpu, aLeft.mName) <
           std::tie(aRight.mBarredBefore, aLeft.mFreeCpu, aRight.mName);
  });
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(found.size(), CountToAsk(aStep)); ++i) {
    names.push_back(std::move(found[i].mName));
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

void
AskForFirstSteps(CellState& aState, JobRow& aJob, Time aNow, Effects& aOut)
{
  for (auto& [index, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      if (IsOpen(aJob, occurrence, s)) {
        AskForStep(aState, aJob, index, s, aNow, aOut);
      }
    }
  }
}

void
AskForStep(CellState& aState,
           JobRow& aJob,
           std::uint32_t aOccurrence,
           std::uint32_t aStep,
           Time aNow,
           Effects& aOut)
{
  const auto& policy = PolicyOf(aState, aJob).Advice();
  auto& advice = aJob.mOccurrences.at(aOccurrence).mSteps[aStep].mAdvice;
  if (!policy || advice.mNextAsk > aNow || (advice.mOpen && aNow < advice.mGiveUpAt)) {
    return;
  }
  auto workers = WorkersToAsk(aState, aJob, StepOf(aJob, aStep), advice, aNow);
  auto* adviser = LeastBusy(aState);
  if (workers.empty() || adviser == nullptr) {
    advice.mNextAsk = aNow + kAskPause;
    return;
  }
  const auto takes = TimeOf(*policy, workers.size());
  adviser->mBusyUntil = std::max(adviser->mBusyUntil, aNow) + takes;
  const auto patience = adviser->mBusyUntil - aNow + kAdviceSlack;
  advice.mOpen = true;
  advice.mGiveUpAt = aNow + patience;
  Log(aOut,
      "advice.asked",
      absl::StrCat(aJob.mJob.Id(), ".", aOccurrence, ".", aStep),
      absl::StrCat("through=",
                   adviser->mNode,
                   " workers=",
                   workers.size(),
                   " expected_ms=",
                   (adviser->mBusyUntil - aNow).Milliseconds()));
  auto ask = by::AskAdvice::Create({ .mJob = aJob.mJob.Id(),
                                     .mOccurrence = aOccurrence,
                                     .mStep = aStep,
                                     .mWorkers = std::move(workers),
                                     .mPatience = patience })
               .value();
  if (adviser->mNode == aState.mNode) {
    Emit(aOut, std::move(ask));
    return;
  }
  Emit(aOut,
       SendToMember::Create(
         { .mNode = adviser->mNode,
           .mMessage = LinkMessage::Create({ .mBody = std::move(ask) }).value() })
         .value());
}

} // namespace by::detail
