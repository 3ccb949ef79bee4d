#include "by_crashes/by_crashes.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kLongWait = Time::FromSeconds(2);

TrialHost
Host(std::size_t aSlots, std::size_t aRuns, bool aProbation = false)
{
  return { .mSlots = aSlots, .mRuns = aRuns, .mHasProbation = aProbation, .mAnsweredAt = {} };
}

using Hosts = std::vector<TrialHost>;
using Indices = std::vector<std::size_t>;

} // namespace

TEST_GROUP(TrialHosts){};

TEST(TrialHosts, TrialPrefersIdleWorkers)
{
  CHECK(ChooseTrialHosts(Hosts{ Host(2, 3), Host(1, 0) }, 1, Time()) == Indices{ 1 });
  CHECK(ChooseTrialHosts(Hosts{ Host(2, 3) }, 1, Time()).empty());
}

TEST(TrialHosts, TrialThatHasWaitedTakesTheWorkerWithTheFewestRuns)
{
  CHECK(ChooseTrialHosts(Hosts{ Host(2, 3), Host(2, 2) }, 1, kLongWait) == Indices{ 1 });
}

/// A crash would not tell which of the runs on probation caused it.
TEST(TrialHosts, WorkerWithARunOnProbationHoldsNoTrial)
{
  CHECK(ChooseTrialHosts(Hosts{ Host(2, 1, true) }, 1, kLongWait).empty());
}

TEST(TrialHosts, GangIsTriedOnFewWorkers)
{
  const Hosts hosts{ Host(1, 0), Host(3, 0), Host(2, 0), Host(3, 0) };
  CHECK(ChooseTrialHosts(hosts, 5, Time()) == (Indices{ 1, 3 }));
  CHECK(ChooseTrialHosts(hosts, 10, Time()).empty());
}

TEST(TrialHosts, FewWorkersHoldTrialsAtTheSameTime)
{
  CHECK_EQUAL(1, TrialLimit(2));
  CHECK_EQUAL(24, TrialLimit(48));
}

TEST(TrialHosts, WorkerThatAnsweredLongAgoMayHaveBeenDownBefore)
{
  const auto answered = Time::FromSeconds(100);
  CHECK(IsAnswerRecent(answered, answered + Time::FromMilliseconds(400)));
  CHECK_FALSE(IsAnswerRecent(answered, answered + Time::FromMilliseconds(600)));
  CHECK_FALSE(IsAnswerRecent(Time(), Time::FromMilliseconds(100)));
}

TEST_GROUP(WideLoss){};

TEST(WideLoss, MostOfARackAtOnceIsAWideLoss)
{
  CHECK(IsWideLoss(8, 8));
  CHECK(IsWideLoss(4, 8));
  CHECK_FALSE(IsWideLoss(3, 8));
  CHECK_FALSE(IsWideLoss(2, 2));
}

TEST(WideLoss, OnlyAllOfAPoolAtOnceIsATotalLoss)
{
  CHECK(IsTotalLoss(6, 6));
  CHECK_FALSE(IsTotalLoss(5, 6));
  CHECK_FALSE(IsTotalLoss(2, 2));
}
