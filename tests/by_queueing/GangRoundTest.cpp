#include "by_queueing/by_queueing.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr std::size_t kFullQuery = 70;
constexpr double kShare = 0.3;

std::vector<AdviceCandidate>
Workers(std::size_t aCount, std::uint32_t aSlots, std::uint32_t aSlotsSoon, double aShare)
{
  return std::vector<AdviceCandidate>(aCount, AdviceCandidate{ aSlots, aSlotsSoon, aShare });
}

} // namespace

/// Gangs of 20 tasks needed two to five rounds of queries beside free workers, and in a full pool
/// their tickets expired while they waited for room.
TEST_GROUP(GangRound){};

TEST(GangRound, EmptyPoolIsCoveredInOneRound)
{
  const auto round = PlanGangRound({}, Workers(500, 3, 3, kShare), 20, kFullQuery);
  CHECK_EQUAL(0, round.mRenewed);
  // Of 28 workers with three slots each, 8 are allowed on average; a third more covers bad luck.
  CHECK(round.mUnknown >= 28 && round.mUnknown <= 50);
}

TEST(GangRound, NothingIsQueriedWhileOnlyCapacityIsMissing)
{
  const auto allowed = Workers(60, 0, 3, 1.0);
  CHECK(PlanGangRound(allowed, Workers(100, 0, 3, kShare), 20, kFullQuery) == GangRound());
}

TEST(GangRound, TicketsAreRenewedOnceThereIsCapacity)
{
  auto allowed = Workers(10, 2, 3, 1.0);
  const auto full = Workers(50, 0, 3, 1.0);
  allowed.insert(allowed.end(), full.begin(), full.end());
  const auto round = PlanGangRound(allowed, Workers(100, 0, 3, kShare), 20, kFullQuery);
  CHECK_EQUAL(0, round.mUnknown);
  CHECK(round.mRenewed >= 10 && round.mRenewed < 20);
}

TEST(GangRound, RoundThatOnlyLearnsListsAFullQuery)
{
  const auto round =
    PlanGangRound(Workers(5, 0, 1, 1.0), Workers(500, 0, 2, kShare), 12, kFullQuery);
  CHECK_EQUAL(0, round.mRenewed);
  CHECK(round.mUnknown >= kFullQuery);
}

TEST(GangRound, TicketsAreRenewedBesideARoundThatLetsTheGangStart)
{
  const auto round =
    PlanGangRound(Workers(4, 2, 2, 1.0), Workers(100, 3, 3, kShare), 20, kFullQuery);
  CHECK_EQUAL(4, round.mRenewed);
  CHECK(round.mUnknown > 10);
}

TEST(GangRound, NothingIsQueriedBesideNoCandidates)
{
  CHECK(PlanGangRound({}, {}, 20, kFullQuery) == GangRound());
}
