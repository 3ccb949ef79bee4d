#include "by_scheduling/SchedulingBuilders.h"

#include <CppUTest/TestHarness.h>

using namespace by;

TEST_GROUP(Placement)
{
  Scheduler mScheduler;
  SchedulingPolicy mPolicy{ PolicyNamed() };
  Time mNow{ Time::FromSeconds(1) };

  std::string PlacedOn(const WorkItem& aItem)
  {
    const auto placed = TryPlace(mScheduler, mPolicy, aItem, mNow);
    return placed ? placed->Vm().Text() : "none";
  }

  void FailTask(const std::string& aTask)
  {
    TaskEnded(mScheduler, TaskId(aTask), TaskState::Failed, Time::FromMilliseconds(5), mNow);
  }
};

TEST(Placement, BestFitLeavesTheEmptyVmUnused)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  PutVm(mScheduler, SmallVm(1), mNow);
  const auto first = PlacedOn(Work("a", "team", 6));
  STRCMP_EQUAL(first.c_str(), PlacedOn(Work("b", "team", 6)).c_str());
  CHECK(PlacedOn(Work("c", "team", 16)) != "none");
}

TEST(Placement, WorkThatNeverFitsIsRefusedWithResourceAndFigure)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  const auto outcome = SubmitWork(mScheduler, mPolicy, Work("a", "team", 17), mNow);
  CHECK(outcome.mRefused.at(0).Reason() == Reason::NeverFits);
  STRCMP_EQUAL("needs 17000 cpu_millis, the largest VM offers 16000",
               outcome.mRefused.at(0).Detail().c_str());
}

TEST(Placement, LeavingVmGetsNoNewTasks)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  PutVm(mScheduler, SmallVm(0).WithState(VmState::Leaving), mNow);
  STRCMP_EQUAL("none", PlacedOn(Work("a", "team", 1)).c_str());
}

TEST(Placement, AdoptedTasksCountEvenPastCapacity)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  for (const auto* task : { "a", "b" }) {
    AdoptTask(
      mScheduler,
      VmId("vm-0"),
      TaskStatus::Create({ .mTask = TaskId(task), .mDeclared = Work(task, "team", 12).Resources() })
        .value(),
      TeamId("team"));
  }
  TaskEnded(mScheduler, TaskId("a"), TaskState::Succeeded, Time::FromSeconds(1), mNow);
  STRCMP_EQUAL("none", PlacedOn(Work("c", "team", 5)).c_str());
  STRCMP_EQUAL("vm-0", PlacedOn(Work("d", "team", 4)).c_str());
}

TEST(Placement, RemovedVmReleasesItsTasks)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  PlacedOn(Work("a", "team", 16));
  RemoveVm(mScheduler, VmId("vm-0"));
  PutVm(mScheduler, SmallVm(0), mNow);
  STRCMP_EQUAL("vm-0", PlacedOn(Work("b", "team", 16)).c_str());
}

TEST(Placement, VmWithRepeatedFailuresIsQuarantinedUntilAProbeSucceeds)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  for (const auto* task : { "a", "b", "c" }) {
    STRCMP_EQUAL("vm-0", PlacedOn(Work(task, "team", 1)).c_str());
    FailTask(task);
  }
  STRCMP_EQUAL("none", PlacedOn(Work("d", "team", 1)).c_str());
  mNow = mNow + kInitialBackoff;
  Dispatch(mScheduler, mPolicy, mNow);
  STRCMP_EQUAL("vm-0", PlacedOn(Work("probe", "team", 1)).c_str());
  STRCMP_EQUAL("none", PlacedOn(Work("e", "team", 1)).c_str());
  FailTask("probe");
  Dispatch(mScheduler, mPolicy, mNow + kInitialBackoff);
  STRCMP_EQUAL("none", PlacedOn(Work("f", "team", 1)).c_str());
}

TEST(Placement, KindThatFailsEverywhereDoesNotQuarantineEveryVm)
{
  for (int i = 0; i < 20; ++i) {
    PutVm(mScheduler, SmallVm(i), mNow);
  }
  for (int i = 0; i < 60; ++i) {
    CHECK(PlacedOn(Work("bad" + std::to_string(i), "team", 1)) != "none");
    FailTask("bad" + std::to_string(i));
  }
  CHECK(mScheduler.mVms.mQuarantined.size() < 6);
}

TEST(Placement, ReplicasSpreadOverZonesAndRacks)
{
  for (int i = 0; i < 8; ++i) {
    const auto zone = "zone-" + std::to_string(i / 4);
    PutVm(mScheduler, SmallVm(i, zone + "-rack-" + std::to_string(i / 2), zone), mNow);
  }
  for (int i = 0; i < 4; ++i) {
    PlacedOn(Work("r" + std::to_string(i), "team", 1).WithSpreadGroup("service"));
  }
  const auto& counts = mScheduler.mVms.mSpread.at("service");
  LONGS_EQUAL(2, counts.mByZone.at(ZoneId("zone-0")));
  LONGS_EQUAL(4, counts.mByRack.size());
}

TEST(Placement, GangThatDoesNotFitWholeReservesNothing)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  PutVm(mScheduler, SmallVm(1), mNow);
  const std::vector<WorkItem> tasks{ Work("a", "team", 10),
                                     Work("b", "team", 10),
                                     Work("c", "team", 10) };
  CHECK_FALSE(ReserveGang(mScheduler, mPolicy, tasks, mNow).has_value());
  LONGS_EQUAL(0, mScheduler.mVms.mCommitted.CpuMillis());
  CHECK(ReserveGang(mScheduler, mPolicy, { tasks[0], tasks[1] }, mNow).has_value());
}

TEST(Placement, UsageAboveTheDeclaredSizeReducesFreeCapacity)
{
  PutVm(mScheduler, SmallVm(0), mNow);
  PlacedOn(Work("a", "team", 4));
  const auto used = Resources::Create({ .mCpuMillis = 12'000 }).value();
  ObserveUsage(mScheduler, VmId("vm-0"), LeaseGrant::Create({ .mUsed = used }).value(), mNow);
  STRCMP_EQUAL("none", PlacedOn(Work("b", "team", 5)).c_str());
  STRCMP_EQUAL("vm-0", PlacedOn(Work("c", "team", 4)).c_str());
}

TEST(Placement, GangAmongSmallTasksReservesCapacityAndStartsWhole)
{
  for (int i = 0; i < 2; ++i) {
    PutVm(mScheduler, SmallVm(i), mNow);
  }
  for (int i = 0; i < 16; ++i) {
    PlacedOn(Work("s" + std::to_string(i), "team", 2));
  }
  const std::vector<WorkItem> gang{ Work("g0", "gang", 8), Work("g1", "gang", 8) };
  CHECK(SubmitGang(mScheduler, mPolicy, gang, mNow).mPlaced.empty());
  Dispatch(mScheduler, mPolicy, mNow);
  std::size_t placed = 0;
  for (int i = 0; i < 16 && placed == 0; ++i) {
    TaskEnded(mScheduler,
              TaskId("s" + std::to_string(i)),
              TaskState::Succeeded,
              Time::FromSeconds(1),
              mNow);
    SubmitWork(mScheduler, mPolicy, Work("n" + std::to_string(i), "team", 2), mNow);
    placed = Dispatch(mScheduler, mPolicy, mNow).mPlaced.size();
    placed = mScheduler.mGangs.empty() ? placed : 0;
  }
  CHECK(mScheduler.mRunning.contains(TaskId("g0")));
  CHECK(mScheduler.mRunning.contains(TaskId("g1")));
  CHECK(mScheduler.mGangs.empty());
}
