#include "by_queueing/by_queueing.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

Time
DelayMs(std::int64_t aAge, std::int64_t aSlack)
{
  return RetryDelayInOutage(Time::FromMilliseconds(aAge), Time::FromMilliseconds(aSlack));
}

} // namespace

TEST_GROUP(RetryDelay){};

TEST(RetryDelay, GrowsWithTheAgeOfTheOutage)
{
  CHECK(DelayMs(0, 20000) == Time::FromMilliseconds(1000));
  CHECK(DelayMs(2000, 20000) == Time::FromMilliseconds(2000));
  CHECK(DelayMs(60000, 20000) == Time::FromMilliseconds(3000));
}

/// The store was away for 6.2 s. Callers with four retries that came back each second had used them
/// up after 4 s, with workers free.
TEST(RetryDelay, FourRetriesOutlastAnOutageOfSixSeconds)
{
  for (std::int64_t arrived = 0; arrived < 6200; arrived += 100) {
    auto at = Time::FromMilliseconds(arrived);
    for (int retry = 0; retry < 4 && at < Time::FromMilliseconds(6200); ++retry) {
      at = at + RetryDelayInOutage(at, Time::FromSeconds(10));
    }
    CHECK(at >= Time::FromMilliseconds(6200));
    CHECK(at <= Time::FromMilliseconds(9200));
  }
}

TEST(RetryDelay, JobWithLittleSlackComesBackSooner)
{
  CHECK(DelayMs(5000, 700) == Time::FromMilliseconds(1000));
  CHECK(DelayMs(5000, 4000) == Time::FromMilliseconds(2000));
}

TEST(RetryDelay, JobWithoutSlackStillWaits)
{
  CHECK(DelayMs(5000, -3000) == Time::FromMilliseconds(1000));
}
