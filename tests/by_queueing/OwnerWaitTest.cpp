#include "by_queueing/by_queueing.h"

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kWait = Time::FromMilliseconds(800);

} // namespace

TEST_GROUP(OwnerWait){};

/// The owner stopped 2 s before the store returned. Callers that had 0.4 to 0.8 s left were held
/// until their deadline passed, at nodes that could not get an owner in that time.
TEST(OwnerWait, RequestDoesNotWaitForAnOwnerWhileTheStoreIsAway)
{
  for (std::int64_t age = 300; age < 6500; age += 100) {
    CHECK(OwnerWaitInOutage(Time::FromMilliseconds(age), kWait) == Time());
  }
}

TEST(OwnerWait, RequestWaitsWhileTheStoreAnswersOrLosesAnAnswer)
{
  CHECK(OwnerWaitInOutage(Time(), kWait) == kWait);
  CHECK(OwnerWaitInOutage(Time::FromMilliseconds(200), kWait) == kWait);
}
