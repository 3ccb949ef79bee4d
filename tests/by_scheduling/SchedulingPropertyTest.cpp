#include "by_placement/ResourceMath.h"
#include "by_scheduling/SchedulingBuilders.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr int kSteps = 120;
constexpr std::int64_t kQueueLimit = 12;
constexpr std::int64_t kQuotaCores = 20'000;
const char* const kFixedSeed = "seed=5 max_success=60";

/// The scheduler and the tasks of one random run.
struct RandomRun
{
  Scheduler mScheduler;
  SchedulingPolicy mPolicy{ PolicyNamed() };
  std::set<TaskId> mPending;
  std::set<TaskId> mRunning;
  int mNext{ 0 };
};

WorkItem
RandomWork(RandomRun& aRun, Time aNow)
{
  const auto name = "t" + std::to_string(aRun.mNext++);
  const auto team = "team-" + std::to_string(*rc::gen::inRange(0, 3));
  return Work(name, team, *rc::gen::inRange(0, 18), *rc::gen::inRange(0, 16))
    .WithPriority(static_cast<Priority>(*rc::gen::inRange(0, 3)))
    .WithStartBy(aNow + Time::FromMilliseconds(*rc::gen::inRange(1, 3000)))
    .WithDeclaredLength(Time::FromMilliseconds(*rc::gen::inRange(0, 5000)));
}

/// Removes placed and refused tasks from the pending ones, and checks that each was pending.
void
ApplyOutcome(RandomRun& aRun, const ScheduleOutcome& aOutcome)
{
  for (const auto& placed : aOutcome.mPlaced) {
    RC_ASSERT(aRun.mPending.erase(placed.Task()) == 1U);
    aRun.mRunning.insert(placed.Task());
  }
  for (const auto& refused : aOutcome.mRefused) {
    RC_ASSERT(refused.Reason() != Reason::None);
    RC_ASSERT(aRun.mPending.erase(refused.Task()) == 1U);
  }
}

void
CheckInvariants(const RandomRun& aRun)
{
  const auto& scheduler = aRun.mScheduler;
  for (const auto& [vm, row] : scheduler.mVms.mRows) {
    RC_ASSERT(Fits(row.Committed(), row.Capacity()));
  }
  for (const auto& [team, row] : scheduler.mTeams.mRows) {
    RC_ASSERT(Fits(row.UsedByRequests(), row.Allotment()));
  }
  RC_ASSERT(static_cast<std::int64_t>(scheduler.mQueue.mRows.size()) <= kQueueLimit);
  RC_ASSERT(scheduler.mQueue.mRows.size() + scheduler.mGangOf.size() == aRun.mPending.size());
  RC_ASSERT(scheduler.mVms.mCommitted.CpuMillis() >= 0);
}

void
SubmitRandomGang(RandomRun& aRun, Time aNow)
{
  std::vector<WorkItem> tasks;
  const auto first = RandomWork(aRun, aNow);
  for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
    tasks.push_back(first.WithTask(TaskId("t" + std::to_string(aRun.mNext++))));
    aRun.mPending.insert(tasks.back().Task());
  }
  const auto outcome = SubmitGang(aRun.mScheduler, aRun.mPolicy, tasks, aNow);
  RC_ASSERT(outcome.mPlaced.empty() || outcome.mPlaced.size() == tasks.size());
  ApplyOutcome(aRun, outcome);
}

void
EndOneTask(RandomRun& aRun, Time aNow)
{
  if (aRun.mRunning.empty()) {
    return;
  }
  const auto task = *aRun.mRunning.begin();
  aRun.mRunning.erase(task);
  const auto state = *rc::gen::element(
    TaskState::Succeeded, TaskState::Failed, TaskState::Checkpointed, TaskState::Stopped);
  TaskEnded(aRun.mScheduler, task, state, Time::FromMilliseconds(50), aNow);
}

void
CancelOneTask(RandomRun& aRun)
{
  if (aRun.mPending.empty()) {
    return;
  }
  const auto task = *aRun.mPending.begin();
  const auto gang = aRun.mScheduler.mGangOf.find(task);
  std::set<TaskId> cancelled{ task };
  if (gang != aRun.mScheduler.mGangOf.end()) {
    for (const auto& item : aRun.mScheduler.mGangs.at(gang->second).Tasks()) {
      cancelled.insert(item.Task());
    }
  }
  RC_ASSERT(CancelWork(aRun.mScheduler, task));
  for (const auto& each : cancelled) {
    aRun.mPending.erase(each);
  }
}

void
RandomStep(RandomRun& aRun, Time aNow)
{
  const auto kind = *rc::gen::inRange(0, 10);
  if (kind < 5) {
    const auto item = RandomWork(aRun, aNow);
    aRun.mPending.insert(item.Task());
    ApplyOutcome(aRun, SubmitWork(aRun.mScheduler, aRun.mPolicy, item, aNow));
  } else if (kind < 6) {
    SubmitRandomGang(aRun, aNow);
  } else if (kind < 7) {
    CancelOneTask(aRun);
  } else {
    EndOneTask(aRun, aNow);
    ApplyOutcome(aRun, Dispatch(aRun.mScheduler, aRun.mPolicy, aNow));
  }
}

void
SetUp(RandomRun& aRun)
{
  aRun.mPolicy.mQueueLimit = kQueueLimit;
  const auto quota = Resources::Create({ .mCpuMillis = kQuotaCores }).value();
  const auto team =
    TeamConfig::Create({ .mTeam = TeamId("team-0"), .mShare = 2, .mRequestQuota = quota }).value();
  SetTeams(aRun.mScheduler, ConfigDocument::Create({ .mTeams = { team } }).value(), 1000);
  for (int i = 0; i < 4; ++i) {
    PutVm(aRun.mScheduler, SmallVm(i, "rack-" + std::to_string(i / 2)), Time());
  }
}

} // namespace

TEST_GROUP(SchedulingProperty){};

TEST(SchedulingProperty, RandomWorkNeverBreaksCapacityQuotaQueueBoundOrEndsTwice)
{
  setenv("RC_PARAMS", kFixedSeed, 1);
  CHECK(rc::check([] {
    RandomRun run;
    SetUp(run);
    for (int i = 0; i < kSteps; ++i) {
      RandomStep(run, Time::FromMilliseconds(1000 + i * 40));
      CheckInvariants(run);
    }
  }));
}
