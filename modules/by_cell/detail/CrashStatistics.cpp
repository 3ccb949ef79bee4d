#include "by_cell/detail/CrashStatistics.h"

#include <set>

#include "by_crashes/by_crashes.h"

namespace by::detail {

namespace {

bool
IsNear(Time aLeft, Time aRight)
{
  return aLeft <= aRight + kWideLossWindow && aRight <= aLeft + kWideLossWindow;
}

/// @returns what a loss of a worker is counted by: a worker that comes back under another name is
/// on the same machine.
const std::string&
CountedBy(const std::string& aWorker, const std::string& aMachine)
{
  return aMachine.empty() ? aWorker : aMachine;
}

/// How many workers were lost together with one, and how many had runs then.
struct LossCounts
{
  std::size_t mLost;
  std::size_t mBusy;
};

/// @param aSelects which workers are counted, by pool and rack.
template<class Predicate>
LossCounts
CountLosses(const CellState& aState, const WorkerCrash& aCrash, Predicate aSelects)
{
  std::set<std::string> lost;
  std::set<std::string> busy;
  for (const auto& other : aState.mCrashes) {
    if (!other.mRuns.empty() && aSelects(other.mPool, other.mRack) &&
        IsNear(other.mLostAt, aCrash.mLostAt)) {
      const auto& name = CountedBy(other.mWorker, other.mMachine);
      busy.insert(name);
      if (!other.mIsExplained) {
        lost.insert(name);
      }
    }
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    const bool hadRuns = !worker.mRuns.empty() || !worker.mLostRuns.empty();
    if (!hadRuns || !aSelects(worker.mRegistration.Pool(), worker.mRegistration.Rack())) {
      continue;
    }
    const auto& name = CountedBy(id, worker.mRegistration.Machine());
    busy.insert(name);
    if (worker.mTrials == 0 && worker.mSilentSince != Time::Never() &&
        IsNear(worker.mSilentSince, aCrash.mLostAt)) {
      lost.insert(name);
    }
  }
  return { lost.size(), busy.size() };
}

} // namespace

const char*
ScopeOfWideLoss(const CellState& aState, const WorkerCrash& aCrash)
{
  const auto rack = CountLosses(aState, aCrash, [&](const std::string& aPool, const RackId& aRack) {
    return aPool == aCrash.mPool && aRack == aCrash.mRack;
  });
  if (IsWideLoss(rack.mLost, rack.mBusy)) {
    return "rack";
  }
  const auto pool = CountLosses(
    aState, aCrash, [&](const std::string& aPool, const RackId&) { return aPool == aCrash.mPool; });
  return IsTotalLoss(pool.mLost, pool.mBusy) ? "pool" : nullptr;
}

PoolCrashes
CountPoolCrashes(const CellState& aState,
                 const std::string& aPool,
                 Time aAt,
                 const std::string& aExcept)
{
  PoolCrashes counts;
  const auto add = [&](Time aLostAt) {
    counts.mNear += aLostAt <= aAt + kNearCrash && aAt <= aLostAt + kNearCrash ? 1 : 0;
    counts.mRecent += aLostAt <= aAt + kNearCrash && aAt <= aLostAt + kCrashWindow ? 1 : 0;
  };
  for (const auto& crash : aState.mCrashes) {
    if (crash.mPool == aPool && crash.mWorker != aExcept && !crash.mIsExplained) {
      add(crash.mLostAt);
    }
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    if (worker.mRegistration.Pool() != aPool) {
      continue;
    }
    const bool hadRuns = !worker.mRuns.empty() || !worker.mLostRuns.empty();
    if (id != aExcept && hadRuns && worker.mTrials == 0 && worker.mSilentSince != Time::Never()) {
      add(worker.mSilentSince);
    }
    counts.mWorkers += worker.mRegistered && worker.mTrials == 0 ? 1 : 0;
  }
  return counts;
}

} // namespace by::detail
