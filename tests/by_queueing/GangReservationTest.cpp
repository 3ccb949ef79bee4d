#include "by_queueing/by_queueing.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kNow = Time::FromMilliseconds(100000);

constexpr Time
In(std::int64_t aMilliseconds)
{
  return kNow + Time::FromMilliseconds(aMilliseconds);
}

} // namespace

/// Independent tasks took each piece of room as it appeared, so that gangs of higher priority
/// waited for 5 to 20 s beside them.
TEST_GROUP(GangReservation){};

TEST(GangReservation, NothingIsReservedForAGangThatCannotStartSoon)
{
  CHECK(ChooseReservedWorkers(std::vector<SlotForecast>(10, { 0, 1 }), 11).empty());
  CHECK(ChooseReservedWorkers({}, 1).empty());
}

TEST(GangReservation, WorkersWithTheMostCapacityAreReserved)
{
  const std::vector<SlotForecast> hosts{ { 0, 2 }, { 2, 2 }, { 0, 1 }, { 1, 2 } };
  auto held = ChooseReservedWorkers(hosts, 2);
  CHECK(held == (std::vector<std::size_t>{ 1, 3 }));
}

/// Some runs end later than expected, so that a little more is held than the gang needs.
TEST(GangReservation, ReservationExceedsTheNeedByHalfAtTheMost)
{
  const auto held = ChooseReservedWorkers(std::vector<SlotForecast>(100, { 0, 1 }), 20);
  CHECK_EQUAL(30, held.size());
  CHECK_EQUAL(22, ChooseReservedWorkers(std::vector<SlotForecast>(22, { 0, 1 }), 20).size());
}

TEST(GangReservation, TaskThatEndsBeforeTheGangStartsIsBackfilled)
{
  CHECK(MayBackfill(In(900), In(8000), In(1000), kNow));
  CHECK_FALSE(MayBackfill(In(1100), In(8000), In(1000), kNow));
}

TEST(GangReservation, TaskThatHasToStartSoonIsBackfilled)
{
  CHECK(MayBackfill(In(5000), In(2400), In(1000), kNow));
  CHECK_FALSE(MayBackfill(In(5000), In(2600), In(1000), kNow));
  CHECK(MayBackfill(In(600), In(900), In(500), kNow));
  CHECK_FALSE(MayBackfill(In(600), In(1100), In(500), kNow));
}

TEST(GangReservation, TaskThatIsLateAnywayIsNotBackfilled)
{
  CHECK_FALSE(MayBackfill(In(5000), In(-1), In(1000), kNow));
}
