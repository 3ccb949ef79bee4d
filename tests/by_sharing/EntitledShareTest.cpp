#include "by_sharing/by_sharing.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

Resources
Amounts(std::int64_t aCpu, std::int64_t aMemory)
{
  return Resources::Create({ .mCpuMillis = aCpu, .mMemoryMb = aMemory }).value();
}

} // namespace

TEST_GROUP(EntitledShare){};

TEST(EntitledShare, IsTheWeightsPartOfThePool)
{
  CHECK(IsBelowEntitledShare(Amounts(249, 0), Amounts(1000, 1000), 1, 4));
  CHECK_FALSE(IsBelowEntitledShare(Amounts(250, 0), Amounts(1000, 1000), 1, 4));
  CHECK(IsBelowEntitledShare(Amounts(749, 0), Amounts(1000, 1000), 3, 4));
}

/// A team that used little processor time and most of the memory counted as one below its share.
TEST(EntitledShare, LargestFractionOfAnyResourceCounts)
{
  CHECK_FALSE(IsBelowEntitledShare(Amounts(1, 600), Amounts(1000, 1000), 1, 2));
}

TEST(EntitledShare, ResourceThatThePoolLacksDoesNotCount)
{
  CHECK(IsBelowEntitledShare(Amounts(1, 600), Amounts(1000, 0), 1, 2));
}

TEST(EntitledShare, LargestNumbersDoNotOverflow)
{
  constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();
  constexpr std::int64_t kWeights = 150'000'000'000;
  CHECK_FALSE(IsBelowEntitledShare(Amounts(kLargest, 0), Amounts(kLargest, 1), 1, kWeights));
  CHECK(IsBelowEntitledShare(Amounts(1, 0), Amounts(kLargest, 1), 1, kWeights));
}
