#include "by_queueing/by_queueing.h"

#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

/// 600 ms and 10 ms for each worker.
constexpr AdviceCost kSlowService{ 600000, 10000 };

std::size_t
Sum(const std::vector<std::size_t>& aSizes)
{
  return std::accumulate(aSizes.begin(), aSizes.end(), std::size_t{ 0 });
}

} // namespace

TEST_GROUP(AdviceRound){};

TEST(AdviceRound, AnswerTimeGrowsWithTheWorkersListed)
{
  CHECK(AnswerTime(kSlowService, 0) == Time::FromMilliseconds(601));
  CHECK(AnswerTime(kSlowService, 30) == Time::FromMilliseconds(901));
}

TEST(AdviceRound, FullQueryListsAsManyWorkersAsItsFixedTimeIsWorth)
{
  CHECK_EQUAL(60, FullQuerySize(kSlowService));
  CHECK_EQUAL(kMaxQueriedWorkers, FullQuerySize({ 600000, 0 }));
  CHECK_EQUAL(kMaxQueriedWorkers, FullQuerySize({ 600000, 1 }));
  CHECK_EQUAL(6, FullQuerySize({ 0, 10000 }));
  CHECK_EQUAL(6, FullQuerySize({ -5, 10000 }));
}

/// Queries without workers occupied nodes for their fixed time: a third of all queries at the
/// crest.
TEST(AdviceRound, NothingToListMeansNoQuery)
{
  CHECK(SplitQueries(kSlowService, 0, 10, 10).empty());
}

TEST(AdviceRound, WideRoundIsSplitWhileMostNodesAreIdle)
{
  CHECK(SplitQueries(kSlowService, 90, 9, 10) == (std::vector<std::size_t>{ 30, 30, 30 }));
  CHECK(SplitQueries(kSlowService, 20, 9, 10) == (std::vector<std::size_t>{ 20 }));
}

/// Many short queries pay the fixed time of each, and the nodes that other steps need are few.
TEST(AdviceRound, QueriesAreFullWhileNodesAreScarce)
{
  CHECK(SplitQueries(kSlowService, 90, 4, 10) == (std::vector<std::size_t>{ 45, 45 }));
  CHECK(SplitQueries(kSlowService, 60, 4, 10) == (std::vector<std::size_t>{ 60 }));
  CHECK(SplitQueries(kSlowService, 90, 0, 10) == (std::vector<std::size_t>{ 90 }));
}

TEST(AdviceRound, NoQueryListsMoreWorkersThanTheServiceTakes)
{
  for (std::size_t workers = 1; workers < 400; ++workers) {
    const auto sizes = SplitQueries(kSlowService, workers, 2, 97);
    CHECK(sizes.size() <= 2);
    CHECK(Sum(sizes) <= workers);
    for (const auto size : sizes) {
      CHECK(size >= 1 && size <= kMaxQueriedWorkers);
    }
  }
}

TEST(AdviceRound, IndependentTasksListSpareWorkers)
{
  CHECK_EQUAL(6, CountWorkersForTasks(100, 1));
  CHECK_EQUAL(24, CountWorkersForTasks(100, 10));
  CHECK_EQUAL(5, CountWorkersForTasks(5, 10));
}
