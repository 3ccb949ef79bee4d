#include "by_runtime/ThreadClock.h"

#include <ctime>

namespace by {

std::chrono::nanoseconds
ThreadProcessorTime()
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace by
