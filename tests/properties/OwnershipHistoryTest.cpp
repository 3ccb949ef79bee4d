#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <iostream>

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

#include "properties/OwnershipSimulation.h"

using namespace by;
using namespace by::test;

namespace {

/// Period during which the faults of a history begin, in milliseconds.
constexpr std::int64_t kHistoryMs = 12000;

rc::Gen<Fault>
RandomFault()
{
  return rc::gen::build<Fault>(
    rc::gen::set(&Fault::mKind,
                 rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::IsolateNode) + 1),
                              [](int aKind) { return static_cast<FaultKind>(aKind); })),
    rc::gen::set(&Fault::mAt, rc::gen::inRange<std::int64_t>(0, kHistoryMs)),
    rc::gen::set(&Fault::mDuration, rc::gen::inRange<std::int64_t>(100, 8000)),
    rc::gen::set(&Fault::mTarget, rc::gen::inRange<std::size_t>(0, 36)));
}

std::string
Describe(const std::vector<Fault>& aFaults)
{
  std::string text;
  for (const auto& fault : aFaults) {
    absl::StrAppend(&text,
                    static_cast<int>(fault.mKind),
                    "(",
                    fault.mTarget,
                    ")@",
                    fault.mAt,
                    "+",
                    fault.mDuration,
                    " ");
  }
  return text;
}

std::vector<Fault>
RandomFaults()
{
  // Full size, because inRange() covers its whole range only then.
  const auto full = rc::gen::resize(rc::kNominalSize, RandomFault());
  const auto count = *rc::gen::element<std::size_t>(0, 1, 2, 3, 4, 6, 8);
  return *rc::gen::container<std::vector<Fault>>(count, full);
}

/// Checks a property for random histories with a fixed seed.
template<class Property>
bool
PropertyHolds(Property aProperty, int aHistories)
{
  rc::detail::TestParams params;
  params.seed = 20260801;
  params.maxSuccess = aHistories;
  const auto result = rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return result.template is<rc::detail::SuccessResult>();
}

bool
InvariantsHold(Fencing aFencing, int aHistories)
{
  const auto property = [aFencing] {
    const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
    const auto nodes = *rc::gen::element<std::size_t>(3, 3, 3, 3, 4, 5, 9);
    const auto faults = RandomFaults();
    OwnershipSimulation simulation(seed, nodes, aFencing);
    const auto violation = simulation.Run(faults, kHistoryMs);
    RC_LOG() << Describe(faults);
    RC_ASSERT(violation == std::string());
  };
  return PropertyHolds(property, aHistories);
}

bool
OwnersRecover(Fencing aFencing, int aHistories)
{
  const auto property = [aFencing] {
    const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
    const auto faults = RandomFaults();
    OwnershipSimulation simulation(seed, 3, aFencing);
    const auto violation = simulation.Run(faults, kHistoryMs + 60000);
    RC_LOG() << Describe(faults);
    RC_ASSERT(violation == std::string());
    RC_ASSERT(simulation.PlaceableVms(10000) == simulation.VmCount());
  };
  return PropertyHolds(property, aHistories);
}

} // namespace

// rapidcheck keeps global tables between runs, which the leak detector would report as leaks of a
// test. The AddressSanitizer build checks for leaks here instead.
TEST_GROUP(OwnershipHistory){
  void setup() override{ MemoryLeakWarningPlugin::getFirstPlugin()->ignoreAllLeaksInTest();
}
}
;

TEST(OwnershipHistory, NeverGivesAVmTwoOwnersWithEpochFencing)
{
  CHECK_TRUE(InvariantsHold(Fencing::Epoch, 2500));
}

TEST(OwnershipHistory, NeverGivesAVmTwoOwnersWithLeaseTimeouts)
{
  CHECK_TRUE(InvariantsHold(Fencing::LeaseTimeout, 2500));
}

TEST(OwnershipHistory, EndsWithAnOwnerForEachVmOnceFaultsEnd)
{
  CHECK_TRUE(OwnersRecover(Fencing::Epoch, 100));
  CHECK_TRUE(OwnersRecover(Fencing::LeaseTimeout, 100));
}
