#include "by_runtime/BootClock.h"

#include <ctime>

namespace by {

namespace {

constexpr std::int64_t kMillisInSecond = 1000;
constexpr std::int64_t kNanosInMilli = 1000000;

std::int64_t
MillisOf(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return now.tv_sec * kMillisInSecond + now.tv_nsec / kNanosInMilli;
}

} // namespace

Time
BootNow()
{
  static const std::int64_t kOffset = MillisOf(CLOCK_REALTIME) - MillisOf(CLOCK_BOOTTIME);
  return Time::FromMilliseconds(MillisOf(CLOCK_BOOTTIME) + kOffset);
}

} // namespace by
