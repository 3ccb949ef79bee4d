// A process that was killed and started again got answers that were meant for the one before it:
// the owner knew a call by its node's name and a number, which the two processes share.

#include <string>

#include <CppUTest/TestHarness.h>

#include "LinkSimulation.h"

using namespace by;

namespace {

#ifdef BY_SANITIZED
constexpr std::uint32_t kHistories = 40;
#else
constexpr std::uint32_t kHistories = 400;
#endif
constexpr int kSteps = 400;

} // namespace

TEST_GROUP(LinkHistory){};

TEST(LinkHistory, ProcessGetsOnlyAnswersToItsOwnCalls)
{
  int answers = 0;
  for (std::uint32_t seed = 1; seed <= kHistories; ++seed) {
    LinkSimulation simulation(seed);
    simulation.Simulate(kSteps);
    answers += simulation.Answers();
    if (!simulation.Violations().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + simulation.Violations().front()).c_str());
    }
  }
  CHECK(answers > static_cast<int>(kHistories));
}
