#include <CppUTest/TestHarness.h>

#include "backend_server/ServerFunctions.h"

using namespace by;
using namespace by::standins;

namespace {

constexpr auto kStart = Time::FromSeconds(1000);
constexpr auto kTtl = Time::FromSeconds(6);

Time
After(std::int64_t aMilliseconds)
{
  return kStart + Time::FromMilliseconds(aMilliseconds);
}

Resources
Amount(std::int64_t aCpu, std::int64_t aSlots)
{
  return Resources::Create({ .mCpuMillis = aCpu, .mMemoryMb = 100, .mSlots = aSlots }).value();
}

TaskStart
Start(const std::string& aTask, std::uint64_t aEpoch, const std::string& aPayload = "run_ms=100;x")
{
  return TaskStart::Create({ .mTask = TaskId(aTask),
                             .mGeneration = 1,
                             .mEpoch = aEpoch,
                             .mNotAfter = After(60000),
                             .mTeam = TeamId("arreo"),
                             .mLabel = "label-" + aTask,
                             .mIdempotent = false,
                             .mResources = Amount(1000, 1),
                             .mPayload = aPayload })
    .value();
}

LeaseRequest
Lease(std::uint64_t aEpoch, bool aWantInventory = false)
{
  return LeaseRequest::Create({ .mEpoch = aEpoch, .mTtl = kTtl, .mWantInventory = aWantInventory })
    .value();
}

} // namespace

TEST_GROUP(BackendServer)
{
  ServerState mServer;

  void setup()
  {
    mServer.mSettings =
      BackendVmSettings::Create(
        { .mVm = VmId("vm-1"),
          .mCapacity =
            Resources::Create({ .mCpuMillis = 2000, .mMemoryMb = 1000, .mSlots = 8 }).value() })
        .value();
    CHECK(GrantLease(mServer, Lease(2), kStart).Granted());
  }

  void CheckFenced(const TaskStart& aStart, Time aNow)
  {
    const auto answer = StartTask(mServer, aStart, aNow);
    CHECK(answer.has_value());
    CHECK(answer->State() == TaskState::NotStarted);
    LONGS_EQUAL(1, mServer.mFenced);
    CHECK(mServer.mRunning.empty());
  }
};

TEST(BackendServer, AnswerEchoesTheTaskAndItsPayload)
{
  CHECK_FALSE(StartTask(mServer, Start("t1", 2), kStart).has_value());
  CHECK(NextDue(mServer) == After(100));
  const auto ended = EndDueTasks(mServer, After(100));
  LONGS_EQUAL(1, ended.size());
  CHECK(ended[0].State() == TaskState::Succeeded);
  STRCMP_EQUAL("t1:run_ms=100;x", ended[0].Payload().c_str());
}

TEST(BackendServer, LeaseUnderALowerEpochIsRefused)
{
  const auto grant = GrantLease(mServer, Lease(1), kStart);
  CHECK_FALSE(grant.Granted());
  LONGS_EQUAL(2, grant.Epoch());
}

TEST(BackendServer, RenewalThatComesPastItsTimeProlongsNothing)
{
  const auto late = Lease(2).WithNotAfter(After(100));
  CHECK_FALSE(GrantLease(mServer, late, After(101)).Granted());
  CHECK(mServer.mLeaseUntil == kStart + kTtl);
  CHECK(GrantLease(mServer, late, After(100)).Granted());
}

TEST(BackendServer, StartUnderALowerEpochIsFenced)
{
  CheckFenced(Start("t1", 1), kStart);
}

TEST(BackendServer, StartAfterTheLeaseLapsedIsFenced)
{
  CheckFenced(Start("t1", 2), kStart + kTtl);
}

TEST(BackendServer, StartForTheProcessBeforeIsFenced)
{
  mServer.mIncarnation = 5;
  CheckFenced(Start("t1", 2).WithIncarnation(4), kStart);
}

TEST(BackendServer, StartPastItsTimeIsFenced)
{
  GrantLease(mServer, Lease(2), After(60000));
  CheckFenced(Start("t1", 2), After(60001));
}

TEST(BackendServer, LapsedLeaseStopsTasksThatStillRun)
{
  StartTask(mServer, Start("short", 2), kStart);
  StartTask(mServer, Start("long", 2, "run_ms=7000;"), kStart);
  const auto ended = EndDueTasks(mServer, kStart + kTtl);
  LONGS_EQUAL(2, ended.size());
  CHECK(ended[0].State() == TaskState::Lost);
  CHECK(ended[1].State() == TaskState::Succeeded);
}

TEST(BackendServer, TaskCanCrashItsServer)
{
  StartTask(mServer, Start("t1", 2, "run_ms=100;crash;"), kStart);
  CHECK_FALSE(IsCrashDue(mServer, After(99)));
  CHECK(IsCrashDue(mServer, After(100)));
  LoseState(mServer, 9);
  CHECK_FALSE(IsCrashDue(mServer, After(200)));
}

TEST(BackendServer, TaskIsRefusedWhileTheServerIsShrunk)
{
  StartTask(mServer, Start("t1", 2), kStart);
  mServer.mSwitch = BackendSwitch::Create({ .mCapacityPercent = 50 }).value();
  CHECK(StartTask(mServer, Start("t2", 2), kStart)->State() == TaskState::NotStarted);
  CHECK(mServer.mRunning.contains(TaskId("t1")));
  mServer.mSwitch = BackendSwitch();
  CHECK_FALSE(StartTask(mServer, Start("t2", 2), kStart).has_value());
}

TEST(BackendServer, StartWithoutRoomIsCountedAsOvercommitted)
{
  StartTask(mServer, Start("t1", 2), kStart);
  StartTask(mServer, Start("t2", 2), kStart);
  const auto answer = StartTask(mServer, Start("t3", 2), kStart);
  CHECK(answer->State() == TaskState::NotStarted);
  LONGS_EQUAL(1, CountersOf(mServer).Overcommitted());
  LONGS_EQUAL(2, CountersOf(mServer).Running());
}

TEST(BackendServer, SecondRunOfANonIdempotentTaskIsCountedAsDoubled)
{
  StartTask(mServer, Start("t1", 2), kStart);
  EndDueTasks(mServer, After(100));
  LONGS_EQUAL(0, CountersOf(mServer).Doubled());
  StartTask(mServer, Start("t1", 2).WithGeneration(2), After(200));
  LONGS_EQUAL(1, CountersOf(mServer).Doubled());
  LONGS_EQUAL(2, CountersOf(mServer).NonIdempotentRuns().size());
}

TEST(BackendServer, DeathLosesTasksAndLeaseButNoCounter)
{
  StartTask(mServer, Start("t1", 2), kStart);
  LoseState(mServer, 77);
  LONGS_EQUAL(0, CountersOf(mServer).Running());
  LONGS_EQUAL(1, CountersOf(mServer).Started());
  const auto grant = GrantLease(mServer, Lease(1, true), kStart);
  CHECK(grant.Granted());
  LONGS_EQUAL(77, grant.Incarnation());
  CHECK(grant.Tasks().empty());
}

TEST(BackendServer, InventoryListsRunningAndUnacknowledgedTasks)
{
  StartTask(mServer, Start("t1", 2), kStart);
  EndDueTasks(mServer, After(100));
  StartTask(mServer, Start("t2", 2), After(150));
  LONGS_EQUAL(2, GrantLease(mServer, Lease(2, true), After(160)).Tasks().size());
  const auto acknowledged = Lease(2, true).WithAcknowledged({ "t1" });
  LONGS_EQUAL(1, GrantLease(mServer, acknowledged, After(170)).Tasks().size());
}

TEST(BackendServer, UseIsReportedWithItsLag)
{
  StartTask(mServer, Start("t1", 2, "run_ms=5000;"), kStart);
  LONGS_EQUAL(0, GrantLease(mServer, Lease(2), After(900)).Used().CpuMillis());
  LONGS_EQUAL(800, GrantLease(mServer, Lease(2), After(1000)).Used().CpuMillis());
}

TEST(BackendServer, ThrottledTaskTakesLongerUntilItIsResumed)
{
  StartTask(mServer, Start("t1", 2), kStart);
  const auto command =
    TaskCommand::Create({ .mTask = TaskId("t1"), .mAction = TaskAction::Throttle, .mEpoch = 2 });
  CHECK_FALSE(ActOnTask(mServer, *command, After(50)).has_value());
  CHECK(NextDue(mServer) == After(250));
  ActOnTask(mServer, command->WithAction(TaskAction::Resume), After(150));
  CHECK(NextDue(mServer) == After(175));
  const auto ended = ActOnTask(mServer, command->WithAction(TaskAction::Checkpoint), After(160));
  CHECK(ended->State() == TaskState::Checkpointed);
}

TEST(BackendServer, ServerThatFailsEverythingFailsAtOnce)
{
  mServer.mSwitch = BackendSwitch::Create({ .mFailAll = true }).value();
  StartTask(mServer, Start("t1", 2, "run_ms=5000;"), kStart);
  const auto ended = EndDueTasks(mServer, After(1));
  CHECK(ended[0].State() == TaskState::Failed);
}
