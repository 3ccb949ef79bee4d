#include "by_entry/detail/Load.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/TeamRates.h"

namespace by::detail {

namespace {

/// An owner counts as overloaded until events have waited less than half of the overload delay for
/// this long.
constexpr Time kCalmTime = Time::FromMilliseconds(1000);
/// An overloaded owner refuses only what exceeds the rates of teams for this long. Nodes learn of
/// such teams within half of it.
constexpr Time kTeamSheddingTime = Time::FromMilliseconds(1000);
/// Unanswered forwarded calls from which on further submissions are refused if the oldest call has
/// waited for half of the answer wait.
constexpr std::ptrdiff_t kUnansweredCallLimit = 32;
/// Upper limit of the delay after which a refused caller retries, before it is spread.
constexpr Time kMaxRetryDelay = Time::FromMilliseconds(2000);
/// The share of the time that the owner has been behind by which callers retry later.
constexpr std::int64_t kBacklogDivisor = 4;
/// Callers retry after the delay, or up to half of it later, in this many steps.
constexpr std::uint64_t kRetrySteps = 4;

bool
IsBacklogged(const EntryState& aState, Time aNow)
{
  if (aState.mCalls.size() <= kUnansweredCallLimit) {
    return false;
  }
  const auto isForwarded = [](const auto& aEntry) {
    return aEntry.second.mForwardedTo.has_value();
  };
  const auto& calls = aState.mCalls;
  const auto oldest = std::find_if(calls.begin(), calls.end(), isForwarded);
  return oldest != calls.end() &&
         (aNow - oldest->second.mArrived) * 2 > aState.mSettings.AnswerWait() &&
         std::count_if(oldest, calls.end(), isForwarded) > kUnansweredCallLimit;
}

/// @returns whether refusing what exceeds the rates of teams may be enough for an overloaded owner.
bool
ShedsTeamsFirst(const EntryState& aState, Time aNow)
{
  const auto& load = aState.mLoad;
  const bool isCatchingUp = load.mQueueDelay <= aState.mSettings.OverloadDelay();
  return aState.mCell && HasTeamFarOverRate(*aState.mCell) &&
         (isCatchingUp || aNow < load.mOverloadedAt + kTeamSheddingTime);
}

} // namespace

void
UpdateLoad(EntryState& aState, Time aQueueDelay, Time aNow, Effects& aOut)
{
  auto& load = aState.mLoad;
  const auto limit = aState.mSettings.OverloadDelay();
  if (aState.mPhase != OwnerPhase::Owner) {
    load.mServingSince = Time::Never();
    load.mQueueDelay = aQueueDelay;
  } else {
    // What waited while the cell was loaded is served soon and says nothing of the load.
    load.mServingSince = std::min(load.mServingSince, aNow);
    load.mQueueDelay = std::min(aQueueDelay, aNow - load.mServingSince);
  }
  if (load.mQueueDelay * 2 >= limit) {
    load.mCalmSince = Time::Never();
  } else {
    load.mCalmSince = std::min(load.mCalmSince, aNow);
  }
  if (load.mQueueDelay > limit && load.mOverloadedAt == Time::Never()) {
    load.mOverloadedAt = aNow;
    Log(aOut,
        "node.overloaded",
        aState.mSettings.Node(),
        absl::StrCat("queue_delay_ms=",
                     load.mQueueDelay.Milliseconds(),
                     " owner=",
                     aState.mPhase == OwnerPhase::Owner,
                     " calls=",
                     aState.mCalls.size(),
                     " sheds_teams_first=",
                     ShedsTeamsFirst(aState, aNow)));
  } else if (load.mOverloadedAt != Time::Never() && aNow >= load.mCalmSince + kCalmTime) {
    Log(aOut,
        "node.caught_up",
        aState.mSettings.Node(),
        absl::StrCat("overloaded_for_ms=", (aNow - load.mOverloadedAt).Milliseconds()));
    load.mOverloadedAt = Time::Never();
  }
  load.mRefusesNewJobs =
    load.mOverloadedAt != Time::Never() && (load.mRefusesNewJobs || !ShedsTeamsFirst(aState, aNow));
  if (aState.mCell) {
    aState.mCell->mIsBehind = load.mOverloadedAt != Time::Never();
  }
}

bool
IsOverloadedOwner(const EntryState& aState)
{
  return aState.mPhase == OwnerPhase::Owner && aState.mLoad.mRefusesNewJobs;
}

bool
IsRefusedAsOverloaded(const EntryState& aState, const CellRequest& aRequest)
{
  return aRequest.Kind() == JobCallKind::Submit && IsOverloadedOwner(aState) &&
         !aState.mCell->mJobs.contains(aRequest.Job()) &&
         !aState.mCell->mOutcomes.contains(aRequest.Job());
}

const char*
RefusalReason(const EntryState& aState, const OpenCall& aCall, Time aNow)
{
  if (aCall.mRequest.Kind() != JobCallKind::Submit || aCall.mPossibleRuns > 0) {
    return nullptr;
  }
  const bool isOwner = aState.mPhase == OwnerPhase::Owner;
  if (isOwner ? IsRefusedAsOverloaded(aState, aCall.mRequest)
              : aState.mOwnerOverloadedAt != Time::Never()) {
    return "owner overloaded";
  }
  return IsBacklogged(aState, aNow) ? "too many unanswered calls" : nullptr;
}

Time
RetryDelay(const EntryState& aState, std::uint64_t aCall, Time aNow)
{
  const auto since =
    aState.mPhase == OwnerPhase::Owner ? aState.mLoad.mOverloadedAt : aState.mOwnerOverloadedAt;
  const auto behindMs = since == Time::Never() ? 0 : (aNow - since).Milliseconds();
  const auto delayMs =
    std::min(kMaxRetryDelay.Milliseconds(),
             aState.mSettings.RetryAfter().Milliseconds() +
               aState.mLoad.mQueueDelay.Milliseconds() + behindMs / kBacklogDivisor);
  const auto step = static_cast<std::int64_t>(aCall % kRetrySteps);
  return Time::FromMilliseconds(delayMs + delayMs * step / (2 * std::int64_t{ kRetrySteps - 1 }));
}

} // namespace by::detail
