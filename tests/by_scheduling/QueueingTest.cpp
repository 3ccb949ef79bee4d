#include "by_scheduling/SchedulingBuilders.h"

#include <CppUTest/TestHarness.h>

using namespace by;

TEST_GROUP(Queueing)
{
  Scheduler mScheduler;
  SchedulingPolicy mPolicy{ PolicyNamed() };
  Time mNow{ Time::FromSeconds(1) };

  void setup() override
  {
    PutVm(mScheduler, SmallVm(0), mNow);
  }

  ScheduleOutcome Submit(const WorkItem& aItem)
  {
    return SubmitWork(mScheduler, mPolicy, aItem, mNow);
  }

  ScheduleOutcome EndTask(const std::string& aTask)
  {
    TaskEnded(mScheduler, TaskId(aTask), TaskState::Succeeded, Time::FromSeconds(1), mNow);
    return Dispatch(mScheduler, mPolicy, mNow);
  }
};

TEST(Queueing, UnknownPolicyNamesAreReportedTogether)
{
  const auto policy = PolicyFrom(
    ConfigDocument::Create({ .mPlacementPolicy = "worst", .mQueuePolicy = "heap" }).value());
  STRCMP_EQUAL("placement_policy: worst is not best_fit or first_fit\n"
               "queue_policy: heap is not lanes, declared_lanes, shared_queue or fifo",
               std::string(policy.status().message()).c_str());
}

TEST(Queueing, UrgentWorkGoesBeforeEarlierWork)
{
  Submit(Work("a", "team", 16));
  Submit(Work("b", "team", 16));
  Submit(Work("c", "team", 16).WithPriority(Priority::Urgent));
  STRCMP_EQUAL("c", EndTask("a").mPlaced.at(0).Task().Text().c_str());
}

TEST(Queueing, WorkThatCannotStartInTimeIsRefusedAtOnce)
{
  Submit(Work("a", "team", 16));
  Submit(Work("b", "team", 16));
  EndTask("a");
  const auto shortWait = Work("c", "team", 16).WithStartBy(mNow + Time::FromMilliseconds(500));
  CHECK(Submit(shortWait).mRefused.at(0).Reason() == Reason::MaxWaitExceeded);
  CHECK(Submit(Work("d", "team", 16)).mRefused.empty());
}

TEST(Queueing, ExpiredWorkIsRefusedByTheNextDispatch)
{
  Submit(Work("a", "team", 16));
  Submit(Work("b", "team", 16));
  const auto outcome = Dispatch(mScheduler, mPolicy, Time::FromSeconds(11));
  CHECK(outcome.mRefused.at(0).Reason() == Reason::MaxWaitExceeded);
}

TEST(Queueing, FloodOfOneTeamLeavesQueueSpaceForAnother)
{
  mPolicy.mQueueLimit = 10;
  Submit(Work("a", "flood", 16));
  for (int i = 0; i < 20; ++i) {
    Submit(Work("f" + std::to_string(i), "flood", 16));
  }
  const auto outcome = Submit(Work("z", "other", 16));
  CHECK(outcome.mRefused.empty());
  CHECK(mScheduler.mQueue.mRows.size() <= 10);
}

TEST(Queueing, CancelledWorkNeverStarts)
{
  Submit(Work("a", "team", 16));
  Submit(Work("b", "team", 16));
  CHECK(CancelWork(mScheduler, TaskId("b")));
  CHECK_FALSE(CancelWork(mScheduler, TaskId("a")));
  CHECK(EndTask("a").mPlaced.empty());
}

TEST(Queueing, ShortWorkPreemptsDeferrableWorkAndAnOverdueTaskIsStopped)
{
  Submit(Work("deferrable", "team", 16).WithPriority(Priority::Deferrable));
  auto outcome = Submit(Work("quote", "team", 1).WithPriority(Priority::Urgent));
  STRCMP_EQUAL("deferrable", outcome.mPreemptions.at(0).Task().Text().c_str());
  CHECK(outcome.mPreemptions.at(0).Action() == TaskAction::Checkpoint);
  CHECK(Dispatch(mScheduler, mPolicy, mNow).mPreemptions.empty());
  outcome = Dispatch(mScheduler, mPolicy, mNow + Time::FromSeconds(3));
  CHECK(outcome.mPreemptions.at(0).Action() == TaskAction::Stop);
  CHECK(outcome.mPlaced.empty());
  STRCMP_EQUAL("quote", EndTask("deferrable").mPlaced.at(0).Task().Text().c_str());
}

TEST(Queueing, LongWorkLeavesTheReserveToShortWork)
{
  const auto longWork = [](const char* aName) {
    return Work(aName, "team", 5).WithDeclaredLength(Time::FromSeconds(60));
  };
  CHECK_EQUAL(1, Submit(longWork("a")).mPlaced.size());
  CHECK_EQUAL(1, Submit(longWork("b")).mPlaced.size());
  CHECK_EQUAL(0, Submit(longWork("c")).mPlaced.size());
  CHECK_EQUAL(1, Submit(Work("short", "team", 5)).mPlaced.size());
}

TEST(Queueing, TeamFurthestBelowItsShareGoesFirst)
{
  SetTeams(
    mScheduler,
    ConfigDocument::Create(
      { .mTeams = { TeamConfig::Create({ .mTeam = TeamId("large"), .mShare = 3 }).value(),
                    TeamConfig::Create({ .mTeam = TeamId("small"), .mShare = 1 }).value() } })
      .value(),
    1000);
  for (int i = 0; i < 8; ++i) {
    Submit(Work("s" + std::to_string(i), "small", 4));
    Submit(Work("l" + std::to_string(i), "large", 4));
  }
  for (const auto* task : { "s0", "l0", "s1", "l1" }) {
    EndTask(task);
  }
  LONGS_EQUAL(12'000, mScheduler.mTeams.mRows.at(TeamId("large")).Used().CpuMillis());
}

TEST(Queueing, RequestQuotaHoldsThisNodesPartOnly)
{
  const auto quota = Resources::Create({ .mCpuMillis = 8'000 }).value();
  const auto team = TeamConfig::Create({ .mTeam = TeamId("team"), .mRequestQuota = quota }).value();
  SetTeams(mScheduler, ConfigDocument::Create({ .mTeams = { team } }).value(), 500);
  CHECK_EQUAL(1, Submit(Work("a", "team", 4)).mPlaced.size());
  CHECK_EQUAL(0, Submit(Work("b", "team", 1)).mPlaced.size());
  CHECK(Submit(Work("c", "team", 5)).mRefused.at(0).Reason() == Reason::Quota);
  CHECK_EQUAL(1, Submit(Work("d", "other", 8)).mPlaced.size());
  CHECK_EQUAL(1, EndTask("a").mPlaced.size());
}
