// A control thread that is behind must say so without adding to its load: one line a second at
// most, and none while events wait a usual time.

#include <CppUTest/TestHarness.h>

#include "by_entry/EventOf.h"
#include "by_entryd/detail/DelayReport.h"

using namespace by;

namespace {

Time
At(std::int64_t aMilliseconds)
{
  return Time::FromMilliseconds(aMilliseconds);
}

detail::EventBatch
Batch(std::int64_t aWait)
{
  return { .mEvents = { EventOf(ClockTick()), EventOf(JobCall()) },
           .mLongestWait = At(aWait),
           .mDropped = {},
           .mLeft = 7 };
}

} // namespace

TEST_GROUP(DelayReport)
{
  detail::DelayReport mReport{ .mNextAt = At(1000) };
};

TEST(DelayReport, SaysNothingWhileEventsWaitAUsualTime)
{
  for (std::int64_t ms = 0; ms < 5000; ms += 50) {
    CHECK_FALSE(ReportDelay(mReport, "n1", Batch(100), At(ms)).has_value());
  }
}

TEST(DelayReport, SaysOnceASecondHowFarTheThreadIsBehind)
{
  CHECK_FALSE(ReportDelay(mReport, "n1", Batch(50), At(800)).has_value());
  CHECK_FALSE(ReportDelay(mReport, "n1", Batch(450), At(999)).has_value());
  const auto line = ReportDelay(mReport, "n1", Batch(120), At(1000));
  CHECK(line.has_value());
  STRCMP_EQUAL("control.behind", line->Event().c_str());
  STRCMP_EQUAL("n1", line->Subject().c_str());
  STRCMP_EQUAL("queue_ms=450 queued=7 handled=6", line->Detail().c_str());
  CHECK_FALSE(ReportDelay(mReport, "n1", Batch(900), At(1999)).has_value());
  CHECK(ReportDelay(mReport, "n1", Batch(10), At(2000)).has_value());
  CHECK_FALSE(ReportDelay(mReport, "n1", Batch(10), At(3000)).has_value());
}
