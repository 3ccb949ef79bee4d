#include "by_web/WebCapacity.h"

#include <algorithm>

namespace by {

namespace {

/// Where the machine's limits are not known.
constexpr std::int64_t kUnknownDescriptors = 4096;
constexpr std::int64_t kUnknownMemory = std::int64_t{ 128 } * 1024 * 1024;
/// A few thousand callers connect at most.
constexpr std::int64_t kMostConnections = 4096;
/// An owner with 350 workers and 44 peers uses about 900 descriptors, of 3075 or more.
constexpr std::int64_t kReservedPart = 3;
/// A refusal holds its descriptor for a second.
constexpr std::int64_t kMostRefusals = 64;
constexpr std::int64_t kRefusalPart = 12;
/// A fifth of the smallest machine, of 120 MB, is in use without callers.
constexpr std::int64_t kCallPart = 4;

std::int64_t
Known(std::int64_t aLimit, std::int64_t aDefault)
{
  return aLimit > 0 ? aLimit : aDefault;
}

} // namespace

WebCapacity
CapacityOf(std::int64_t aConnections)
{
  return { .mConnections = aConnections, .mRefusals = kMostRefusals, .mCallBytes = kUnknownMemory };
}

WebCapacity
CapacityFor(const MachineLimits& aMachine)
{
  const auto descriptors = Known(aMachine.mDescriptors, kUnknownDescriptors);
  const auto callers = descriptors - descriptors / kReservedPart;
  const auto refusals = std::min(kMostRefusals, callers / kRefusalPart);
  return { .mConnections = std::clamp(callers - refusals, std::int64_t{ 1 }, kMostConnections),
           .mRefusals = refusals,
           .mCallBytes = Known(aMachine.mMemory, kUnknownMemory) / kCallPart };
}

} // namespace by
