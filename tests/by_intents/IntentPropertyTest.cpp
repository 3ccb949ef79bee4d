#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <iostream>

#include <rapidcheck.h>

#include "by_intents/IntentSimulation.h"

using by::test::Simulation;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kHistoryCount = 1000;
constexpr std::size_t kEventsPerHistory = 400;

rc::Gen<std::vector<std::uint32_t>>
Histories()
{
  return rc::gen::resize(
    rc::kNominalSize,
    rc::gen::container<std::vector<std::uint32_t>>(
      kEventsPerHistory, rc::gen::inRange<std::uint32_t>(0, std::uint32_t{ 1 } << 30)));
}

void
RunHistory()
{
  const auto history = *Histories();
  Simulation simulation;
  for (const auto choice : history) {
    simulation.ApplyRandomEvent(choice);
    if (!simulation.mViolation.empty()) {
      RC_FAIL(simulation.mViolation);
    }
  }
  const auto unfinished = simulation.RunToCompletion();
  if (!unfinished.empty()) {
    RC_FAIL(unfinished);
  }
}

bool
CheckHistories(int aHistories)
{
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = aHistories;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable(RunHistory, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_GROUP(IntentProperty){};

TEST(IntentProperty, NoTaskRunsTwiceNoPartialGangNoQuotaExceededUnderRandomFaults)
{
  // rapidcheck keeps tables from its first use until the process ends.
  IGNORE_ALL_LEAKS_IN_TEST();
  CHECK_TRUE(CheckHistories(kHistoryCount));
}
