#include "by_runtime/MachineClock.h"

#include <chrono>

namespace by {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

} // namespace

Time
MachineNow()
{
  static const auto kWallAtStart = system_clock::now();
  static const auto kSteadyAtStart = steady_clock::now();
  const auto wall = duration_cast<milliseconds>(kWallAtStart.time_since_epoch());
  const auto passed = duration_cast<milliseconds>(steady_clock::now() - kSteadyAtStart);
  return Time::FromMilliseconds((wall + passed).count());
}

} // namespace by
