#include <CppUTest/TestHarness.h>

#include "by_intents/by_intents.h"

using namespace by;

TEST_GROUP(MakePlan){
  static Resources Size(std::int64_t aCpu, std::int64_t aMemory, std::int64_t aAccelerators = 0){
    return Resources::Create({ .mCpuMillis = aCpu,
                               .mMemoryMb = aMemory,
                               .mAccelerators = aAccelerators,
                               .mSlots = 8 })
      .value();
}

static Plan
Make(WorkClass aClass,
     std::int64_t aTasks,
     const Resources& aSize,
     const std::vector<Resources>& aServers,
     const Resources& aQuota = {},
     bool aIdempotent = true)
{
  std::vector<VmDescription> vms;
  for (const auto& server : aServers) {
    vms.push_back(VmDescription::Create({ .mVm = VmId("v"), .mCapacity = server }).value());
  }
  const auto team = TeamConfig::Create({ .mTeam = TeamId("arreo"), .mQuota = aQuota }).value();
  const auto spec = IntentSpec::Create({ .mName = "n",
                                         .mTeam = TeamId("arreo"),
                                         .mWorkClass = aClass,
                                         .mTasks = aTasks,
                                         .mResources = aSize.WithSlots(0),
                                         .mIdempotent = aIdempotent })
                      .value();
  return MakePlan({},
                  spec,
                  IntentId("a"),
                  vms,
                  ConfigDocument::Create({ .mTeams = { team } }).value(),
                  Time::FromSeconds(1),
                  Time::FromSeconds(60));
}
}
;

TEST(MakePlan, TaskThatFitsOnNoServerIsRefusedWithResourceAndFigure)
{
  const auto plan =
    Make(WorkClass::Batch, 1, Size(1000, 100, 4), { Size(16000, 32000), Size(8000, 100, 2) });
  CHECK_FALSE(plan.Feasible());
  CHECK(plan.Reason() == Reason::NeverFits);
  STRCMP_EQUAL("a task does not fit on any backend server: accelerators: 4 of 2",
               plan.Detail().c_str());
}

TEST(MakePlan, TaskWhoseResourcesAreOnDifferentServersIsRefused)
{
  const auto plan =
    Make(WorkClass::Batch, 1, Size(16000, 32000), { Size(16000, 100), Size(100, 32000) });
  CHECK(plan.Reason() == Reason::NeverFits);
}

TEST(MakePlan, GangLargerThanAllServersIsRefused)
{
  const auto plan =
    Make(WorkClass::Gang, 9, Size(4000, 100), { Size(16000, 800), Size(16000, 800) });
  STRCMP_EQUAL("all backend servers together hold 8 of 9 tasks", plan.Detail().c_str());
}

TEST(MakePlan, BatchLargerThanAllServersIsFeasible)
{
  CHECK_TRUE(Make(WorkClass::Batch, 9, Size(4000, 100), { Size(16000, 800) }).Feasible());
}

TEST(MakePlan, ServiceBeyondTheQuotaIsRefused)
{
  const auto plan = Make(
    WorkClass::Service, 3, Size(1000, 100), { Size(16000, 32000) }, Size(2000, 0).WithSlots(0));
  CHECK(plan.Reason() == Reason::Quota);
}

TEST(MakePlan, EveryTaskRequestsASlot)
{
  const auto plan = Make(WorkClass::Gang, 8, Size(0, 0), { Size(16000, 32000) });
  CHECK_TRUE(plan.Feasible());
  LONGS_EQUAL(1, plan.Spec().Resources().Slots());
  CHECK_FALSE(Make(WorkClass::Gang, 9, Size(0, 0), { Size(16000, 32000) }).Feasible());
}

TEST(MakePlan, NonIdempotentServiceIsRefused)
{
  const auto plan = Make(WorkClass::Service, 1, Size(1, 1), { Size(16000, 32000) }, {}, false);
  CHECK(plan.Reason() == Reason::Invalid);
}
