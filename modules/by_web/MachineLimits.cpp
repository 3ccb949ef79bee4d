#include "by_web/MachineLimits.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace by {

namespace {

std::int64_t
Smaller(std::int64_t aLeft, std::int64_t aRight)
{
  return aLeft > 0 && aRight > 0 ? std::min(aLeft, aRight) : std::max(aLeft, aRight);
}

std::int64_t
DescriptorsOfProcess()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
           ? static_cast<std::int64_t>(limit.rlim_cur)
           : 0;
}

std::int64_t
MemoryOfSystem()
{
  return std::max(std::int64_t{ 0 },
                  std::int64_t{ sysconf(_SC_PHYS_PAGES) } * sysconf(_SC_PAGESIZE));
}

} // namespace

MachineLimits
LimitsInForce(const MachineLimits& aSettings)
{
  return { .mMemory = Smaller(aSettings.mMemory, MemoryOfSystem()),
           .mDescriptors = Smaller(aSettings.mDescriptors, DescriptorsOfProcess()) };
}

} // namespace by
