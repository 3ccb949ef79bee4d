#include "by_cell/detail/QueryRounds.h"

#include <algorithm>

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"

namespace by::detail {

namespace {

/// Rounds of advice queries per placement pass and pool, since selecting the workers to ask for
/// takes long. As many are handed on at most.
constexpr std::size_t kMaxQueriesPerPass = 4;
/// How long a step waits for a round before it gets an empty one, since the nodes serve the steps
/// in their order otherwise.
constexpr Time kMaxRoundWait = Time::FromMilliseconds(1000);

/// Lets a step wait for an empty round; only as many wait as there can be empty rounds.
void
AwaitEmptyRound(QueryRounds& aRounds, Time aSince, const ReadyKey& aKey)
{
  auto& waiting = aRounds.mWaiting;
  const auto place = std::upper_bound(
    waiting.begin(), waiting.end(), aSince, [](Time aTime, const QueryRounds::Waiting& aStep) {
      return aTime < aStep.first;
    });
  if (place == waiting.end() && waiting.size() == aRounds.mEmpty) {
    return;
  }
  waiting.emplace(place, aSince, aKey);
  waiting.resize(std::min(waiting.size(), aRounds.mEmpty));
}

/// @returns false if no query would help the step.
bool
QueryStep(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey, const std::string& aPool)
{
  return QueryAdvice(
    aPass.mState, aJob, aKey.mOccurrence, aKey.mStep, PoolOf(aPass, aPool), aPass.mNow, aPass.mOut);
}

} // namespace

void
QueryInPass(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey)
{
  const auto& advice = aJob.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep].mAdvice;
  if (!MayQueryAdvice(advice, aPass.mNow)) {
    return;
  }
  const auto& pool = PolicyOf(aPass.mState, aJob).Pool();
  auto& rounds = aPass.mQueryRounds[pool];
  if (rounds.mUsed == kMaxQueriesPerPass) {
    if (advice.mNextQuery + kMaxRoundWait <= aPass.mNow) {
      AwaitEmptyRound(rounds, advice.mNextQuery, aKey);
    }
    return;
  }
  ++rounds.mUsed;
  rounds.mEmpty += QueryStep(aPass, aJob, aKey, pool) ? 0 : 1;
}

void
HandOnEmptyRounds(PlacementPass& aPass)
{
  for (const auto& [pool, rounds] : aPass.mQueryRounds) {
    for (const auto& [since, key] : rounds.mWaiting) {
      auto* job = FindJob(aPass.mState, key.mJob);
      if (job != nullptr && QuotaAllowsStart(aPass.mState, *job, StepOf(*job, key.mStep))) {
        QueryStep(aPass, *job, key, pool);
      }
    }
  }
}

} // namespace by::detail
