#include "by_queueing/by_queueing.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kStart = Time::FromMilliseconds(1000000);

/// @returns how many submissions, of a number a second at even distances, a bucket accepts.
int
CountAccepted(TokenBucket& aBucket, std::int64_t aRate, int aPerSecond, Time aFrom, Time aTime)
{
  int accepted = 0;
  for (int i = 0; i < aPerSecond * aTime.Milliseconds() / 1000; ++i) {
    const auto at = aFrom + Time::FromMilliseconds(std::int64_t{ 1000 } * i / aPerSecond);
    accepted += TakeToken(aBucket, aRate, at) ? 1 : 0;
  }
  return accepted;
}

/// Counts a number of submissions that reached the owner in half a second, and updates the share.
void
PlayInterval(TeamDemand& aDemand, std::int64_t aRate, int aArrivals, bool aIsRefused)
{
  for (int i = 0; i < aArrivals; ++i) {
    CountArrival(aDemand);
  }
  UpdateAdmittedShare(aDemand, aRate, Time::FromMilliseconds(500), aIsRefused);
}

} // namespace

TEST_GROUP(TeamRate){};

/// A team at 7.5 times its rate, whose flood must not take what it is owed: a bucket that counted
/// refused submissions too would accept none.
TEST(TeamRate, FloodedTeamGetsItsRate)
{
  auto bucket = FullBucket(4, kStart);
  const auto accepted = CountAccepted(bucket, 4, 30, kStart, Time::FromSeconds(10));
  CHECK(accepted >= 40);
  CHECK(accepted <= 44);
}

TEST(TeamRate, TeamWithinItsRateIsAlwaysAccepted)
{
  auto bucket = FullBucket(4, kStart);
  CHECK_EQUAL(40, CountAccepted(bucket, 4, 4, kStart, Time::FromSeconds(10)));
}

/// A team that saved tokens up while it was idle could flood the others for as long.
TEST(TeamRate, IdleTeamSavesUpOneSecond)
{
  auto bucket = FullBucket(5, kStart);
  const auto later = kStart + Time::FromSeconds(1000);
  CHECK_EQUAL(5, CountAccepted(bucket, 5, 1000, later, Time::FromMilliseconds(100)));
}

TEST(TeamRate, WeightOfZeroOrLessCountsAsOne)
{
  CHECK_EQUAL(1, JobsPerSecond(0));
  CHECK_EQUAL(1, JobsPerSecond(-5));
  CHECK_EQUAL(7, JobsPerSecond(7));
  auto bucket = FullBucket(JobsPerSecond(0), kStart);
  // Two at first, since two jobs may be submitted at the same time.
  CHECK_EQUAL(2, CountAccepted(bucket, 1, 1000, kStart, Time::FromMilliseconds(900)));
  CHECK_EQUAL(10,
              CountAccepted(bucket, 1, 1, kStart + Time::FromSeconds(2), Time::FromSeconds(10)));
}

/// Any integer may be configured as a weight; an overflow would refuse the team for good.
TEST(TeamRate, LargestWeightDoesNotOverflow)
{
  const auto rate = JobsPerSecond(std::numeric_limits<std::int64_t>::max());
  auto bucket = FullBucket(rate, kStart);
  RefusedBacklog refused;
  TeamDemand demand;
  for (int s = 0; s < 5; ++s) {
    const auto at = kStart + Time::FromSeconds(1000 * s);
    CHECK(TakeToken(bucket, rate, at));
    CHECK(AddRefused(refused, rate, at) >= Time());
    PlayInterval(demand, rate, 100, true);
    CHECK_EQUAL(kAllPermille, demand.mAdmittedPermille);
  }
}

TEST(TeamRate, LowerWeightTakesSavedTokensAway)
{
  auto bucket = FullBucket(100, kStart);
  CHECK_EQUAL(2, CountAccepted(bucket, 1, 1000, kStart, Time::FromMilliseconds(500)));
}

/// A clock that goes back must not refuse the team for as long as it went back.
TEST(TeamRate, EarlierTimeTakesNoTokensAway)
{
  auto bucket = FullBucket(4, kStart);
  CHECK(TakeToken(bucket, 4, kStart - Time::FromSeconds(3600)));
  CHECK_EQUAL(3000, bucket.mMilliTokens);
}

/// The share is chosen from all submissions, also those that nodes refuse. Chosen from those that
/// reach the owner, it would be withdrawn as soon as it takes effect, and the flood return each
/// second.
TEST(TeamRate, RefusalsOfNodesDoNotHideTheFlood)
{
  constexpr std::int64_t kRate = 40;
  constexpr int kOffered = 300;
  TeamDemand demand;
  std::int64_t credit = 0;
  for (int interval = 0; interval < 40; ++interval) {
    int arrived = 0;
    for (int i = 0; i < kOffered / 2; ++i) {
      arrived += ForwardsNext(credit, demand.mAdmittedPermille) ? 1 : 0;
    }
    PlayInterval(demand, kRate, arrived, true);
    if (interval >= 5) {
      CHECK(demand.mAdmittedPermille >= 1000 * kRate / kOffered);
      CHECK(demand.mAdmittedPermille <= 2000 * kRate / kOffered);
    }
  }
}

TEST(TeamRate, ShareIsRestoredStepByStepAfterTheFlood)
{
  TeamDemand demand;
  for (int i = 0; i < 10; ++i) {
    PlayInterval(demand, 10, static_cast<int>(75 * demand.mAdmittedPermille / 1000), true);
  }
  auto last = demand.mAdmittedPermille;
  CHECK(last < 150);
  int intervals = 0;
  for (; demand.mAdmittedPermille < kAllPermille; ++intervals) {
    PlayInterval(demand, 10, 2, false);
    CHECK(demand.mAdmittedPermille <= 2 * last);
    last = demand.mAdmittedPermille;
  }
  // A team that is within its rate is not refused for more than about three seconds.
  CHECK(intervals <= 6);
}

TEST(TeamRate, TeamWithinHalfMoreThanItsRateIsNotLimitedAtNodes)
{
  TeamDemand demand;
  for (int i = 0; i < 10; ++i) {
    PlayInterval(demand, 10, 7, true);
    CHECK_EQUAL(kAllPermille, demand.mAdmittedPermille);
  }
}

/// Nodes see few submissions of a team each. Rounding that starts anew would refuse all of them.
TEST(TeamRate, ShareHoldsExactlyForAnyNumberOfSubmissions)
{
  for (const std::int64_t permille : { 1, 10, 133, 200, 500, 667, 999, 1000 }) {
    std::int64_t credit = 0;
    std::int64_t forwarded = 0;
    for (std::int64_t n = 1; n <= 3000; ++n) {
      forwarded += ForwardsNext(credit, permille) ? 1 : 0;
      CHECK_EQUAL(n * permille / 1000, forwarded);
    }
  }
}

/// A burst is refused at one moment; its callers must not return as a burst.
TEST(TeamRate, RefusedBurstIsSpreadOverTheTimeThatItsTokensTake)
{
  RefusedBacklog backlog;
  std::map<Time, int> returns;
  for (std::uint64_t i = 0; i < 40; ++i) {
    ++returns[ReturnDelay(AddRefused(backlog, 10, kStart), i)];
  }
  CHECK_EQUAL(4, returns.size());
  for (const auto& [delay, count] : returns) {
    CHECK(delay >= Time::FromSeconds(1));
    CHECK(delay <= Time::FromSeconds(4));
    CHECK_EQUAL(0, delay.Milliseconds() % 1000);
    CHECK(count <= 14);
  }
}

TEST(TeamRate, FewRefusedCallersReturnSoon)
{
  RefusedBacklog backlog;
  for (std::uint64_t i = 0; i < 5; ++i) {
    CHECK(ReturnDelay(AddRefused(backlog, 10, kStart), i) <= Time::FromSeconds(2));
  }
  // Those of earlier seconds have been served meanwhile.
  const auto later = kStart + Time::FromSeconds(2);
  CHECK(AddRefused(backlog, 10, later) == Time::FromMilliseconds(100));
}

TEST(TeamRate, NodesSpreadReturnsByTheShareThatTheyForward)
{
  CHECK(RefillTimeOfRefused(kAllPermille) == Time());
  CHECK(RefillTimeOfRefused(500) == Time::FromMilliseconds(1500));
  CHECK(RefillTimeOfRefused(200) == Time::FromMilliseconds(6000));
  CHECK(RefillTimeOfRefused(0) > Time::FromSeconds(100));
  std::array<int, 5> returns{};
  for (std::uint64_t i = 0; i < 100; ++i) {
    ++returns.at(ReturnDelay(RefillTimeOfRefused(200), i).Milliseconds() / 1000);
  }
  CHECK(returns == (std::array<int, 5>{ 0, 25, 25, 25, 25 }));
}
