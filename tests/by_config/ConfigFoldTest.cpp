#include <CppUTest/TestHarness.h>

#include "by_config/by_config.h"
#include "by_schema/ConfigPublish.h"

using namespace by;

namespace {

ConfigPublish
Change(std::uint64_t aBase, const std::string& aOperator)
{
  return ConfigPublish::Create({ .mBaseVersion = aBase, .mOperatorName = aOperator }).value();
}

} // namespace

TEST_GROUP(ConfigFold){};

TEST(ConfigFold, FirstOfTwoRacingChangesInTheLogWins)
{
  ConfigFold fold;
  CHECK_TRUE(ApplyConfigPublish(fold, Change(0, "ana"), Time::FromMilliseconds(10)));
  CHECK_FALSE(ApplyConfigPublish(fold, Change(0, "bo"), Time::FromMilliseconds(11)));
  UNSIGNED_LONGS_EQUAL(1, fold.mCurrent.Version());
  STRCMP_EQUAL("ana", fold.mCurrent.OperatorName().c_str());
}

TEST(ConfigFold, ChangeMadeFromAFutureVersionIsRefused)
{
  ConfigFold fold;
  CHECK_FALSE(ApplyConfigPublish(fold, Change(5, "ana"), Time()));
  UNSIGNED_LONGS_EQUAL(0, fold.mCurrent.Version());
}

TEST(ConfigFold, StaleRowOfAPeerDoesNotReplaceTheNewerOne)
{
  ConfigFold fold;
  ApplyConfigPublish(fold, Change(0, "ana"), Time());
  const auto stale = fold.mCurrent;
  ApplyConfigPublish(fold, Change(1, "bo"), Time());
  CHECK_FALSE(RestoreConfig(fold, stale));
  UNSIGNED_LONGS_EQUAL(2, fold.mCurrent.Version());
}

TEST(ConfigFold, EachChangeIncrementsTheVersion)
{
  ConfigFold fold;
  for (std::uint64_t it = 0; it < 5200; ++it) {
    CHECK_TRUE(ApplyConfigPublish(fold, Change(it, "ana"), Time()));
  }
  UNSIGNED_LONGS_EQUAL(5200, fold.mCurrent.Version());
}
