#include <CppUTest/TestHarness.h>

#include "CellSimulation.h"

using namespace by;

namespace {

/// Sanitizer builds are many times slower and simulate one history in this many.
#ifdef BY_SANITIZED
constexpr std::uint32_t kHistoryDivisor = 10;
#else
constexpr std::uint32_t kHistoryDivisor = 1;
#endif

/// Simulates one history, and fails with its seed if it breaks a rule.
/// @returns how many runs workers have started.
int
SimulateOne(std::uint32_t aSeed, CellFaults aFaults, int aMilliseconds)
{
  CellSimulation simulation(aSeed, aFaults);
  simulation.Simulate(aMilliseconds);
  if (!simulation.Violations().empty()) {
    FAIL(("seed " + std::to_string(aSeed) + ": " + simulation.Violations().front()).c_str());
  }
  return simulation.Starts();
}

/// Simulates histories with seeds from 1 on.
void
SimulateAll(std::uint32_t aHistories, CellFaults aFaults, int aMilliseconds = 8000)
{
  int starts = 0;
  for (std::uint32_t seed = 1; seed <= aHistories / kHistoryDivisor; ++seed) {
    starts += SimulateOne(seed, aFaults, aMilliseconds);
  }
  CHECK(starts > static_cast<int>(aHistories / kHistoryDivisor));
}

} // namespace

TEST_GROUP(CellHistory){};

TEST(CellHistory, RulesHoldWithoutFaults)
{
  SimulateAll(300, {});
}

TEST(CellHistory, RulesHoldWhenOrdersAreLostOrLate)
{
  SimulateAll(900, { .mLostOrders = 10 });
}

TEST(CellHistory, RulesHoldWhenAppendsAreLostOrRejected)
{
  SimulateAll(900, { .mLostAppends = 15 });
}

TEST(CellHistory, RulesHoldWhenOwnersFollowEachOther)
{
  SimulateAll(900, { .mTakeoverEvery = 1500 });
}

TEST(CellHistory, RulesHoldWhenWorkersCrashAndAreCutOff)
{
  SimulateAll(900, { .mCrashEvery = 6000, .mCutEvery = 6000 });
}

/// Starts above the quota of their team, and accepted jobs that are not done once it is raised.
TEST(CellHistory, RulesHoldWhenQuotasChange)
{
  SimulateAll(400, { .mQuotaChangeEvery = 800 });
}

/// An owner that has nothing to append does not notice that the store is back (KNOWN-RED.txt).
TEST(CellHistory, RulesHoldWhenQuotasChangeAndAppendsAreLost)
{
  SimulateAll(400, { .mLostAppends = 10, .mQuotaChangeEvery = 1000 });
}

TEST(CellHistory, RulesHoldWhenQuotasChangeAndOrdersAndAppendsAreLost)
{
  SimulateAll(400, { .mLostOrders = 10, .mLostAppends = 10, .mQuotaChangeEvery = 1500 });
}

TEST(CellHistory, RulesHoldWhenQuotasChangeAndOrdersAreLost)
{
  SimulateAll(400, { .mLostOrders = 10, .mQuotaChangeEvery = 1500 });
}

TEST(CellHistory, RulesHoldWhenQuotasChangeAndOwnersFollowEachOther)
{
  SimulateAll(
    400,
    { .mLostOrders = 5, .mLostAppends = 8, .mTakeoverEvery = 2500, .mQuotaChangeEvery = 1500 });
}

TEST(CellHistory, RulesHoldWhenQuotasChangeAndWorkersCrash)
{
  SimulateAll(400, { .mCrashEvery = 9000, .mCutEvery = 6000, .mQuotaChangeEvery = 2000 });
}

/// A job was failed after one crash under a task of it, since its other trials had met workers that
/// had crashed before.
TEST(CellHistory, RulesHoldInHistoriesInWhichAHealthyJobWasFailed)
{
  SimulateOne(1557, { .mCrashEvery = 6000, .mCutEvery = 6000, .mJointFailures = 0 }, 8000);
  SimulateOne(3810,
              { .mLostAppends = 15,
                .mTakeoverEvery = 3000,
                .mCrashEvery = 9000,
                .mCutEvery = 9000,
                .mListedEnds = 2,
                .mJointFailures = 0 },
              12000);
}

TEST(CellHistory, RulesHoldWhenTasksCrashTheirWorkers)
{
  SimulateAll(600, { .mCrashingJobs = 15 });
}

TEST(CellHistory, RulesHoldWhenTasksCrashTheirWorkersAndOwnersFollowEachOther)
{
  SimulateAll(600, { .mLostAppends = 8, .mTakeoverEvery = 2500, .mCrashingJobs = 15 });
}

TEST(CellHistory, RulesHoldWhenCapacityChanges)
{
  SimulateAll(600, { .mLostOrders = 5, .mTakeoverEvery = 4000, .mResizeEvery = 1500 });
}

/// Runs whose ends a worker had not listed yet were taken for lost, and started again.
TEST(CellHistory, RulesHoldWhenWorkersListAPartOfTheirEnds)
{
  SimulateAll(600, { .mLostAppends = 15, .mListedEnds = 1 });
}

TEST(CellHistory, RulesHoldWhenWorkersListAPartOfTheirEndsAndOwnersFollowEachOther)
{
  SimulateAll(600,
              { .mLostOrders = 5, .mLostAppends = 15, .mTakeoverEvery = 1500, .mListedEnds = 1 });
}

TEST(CellHistory, RulesHoldWhenWorkersListAPartOfTheirEndsAndCrash)
{
  SimulateAll(600,
              { .mLostAppends = 15,
                .mTakeoverEvery = 3000,
                .mCrashEvery = 9000,
                .mCutEvery = 9000,
                .mListedEnds = 2 },
              12000);
}

/// Orders for an earlier process of a worker reached the one that had begun under its name: they
/// brought a lease on another clock, and acknowledged ends that nobody had read.
TEST(CellHistory, RulesHoldWhenWorkersRestartUnderTheirNames)
{
  SimulateAll(250, { .mCutEvery = 5000, .mRestartEvery = 4000 }, 12000);
}

TEST(CellHistory, RulesHoldWhenWorkersRestartUnderTheirNamesAndOrdersAreLate)
{
  SimulateAll(250,
              { .mLostOrders = 5,
                .mLostAppends = 8,
                .mTakeoverEvery = 3000,
                .mCutEvery = 7000,
                .mRestartEvery = 5000,
                .mListedEnds = 2 },
              12000);
}

/// Orders and polls that a cut had held back arrived after it, when newer ones had been answered.
TEST(CellHistory, RulesHoldWhenCutsHoldCallsBack)
{
  SimulateAll(400, { .mCutEvery = 4000, .mHeldCalls = 60 }, 12000);
}

TEST(CellHistory, RulesHoldWhenCutsHoldCallsBackAndWorkersRestart)
{
  SimulateAll(250,
              { .mLostAppends = 8,
                .mTakeoverEvery = 3000,
                .mCutEvery = 4000,
                .mRestartEvery = 6000,
                .mHeldCalls = 60 },
              12000);
}

TEST(CellHistory, RulesHoldUnderAllFaultsTogether)
{
  SimulateAll(1200,
              { .mLostOrders = 5,
                .mLostAppends = 8,
                .mTakeoverEvery = 3000,
                .mCrashEvery = 9000,
                .mCutEvery = 9000 },
              12000);
}
