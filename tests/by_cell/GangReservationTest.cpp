#include "by_cell/CellFixture.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr int kSlots = 8;

/// A full pool of two workers with eight runs that end soon, and a waiting job of lower priority
/// whose tasks start alone, take 5 s each and have time.
struct FullCell : CellFixture
{
  FullCell()
    : CellFixture(2)
  {
    Submit("running", { Step(kSlots) });
    for (const auto& start : TakeStarts()) {
      const RunId run{ start.Task(), start.Run() };
      Started(start.Worker(), run, OrderOutcome::Accepted);
      mRunning.emplace_back(start.Worker(), run);
    }
    mQueue = mQueue.WithPriority(1).WithPathPrefix("/low/");
    auto loose = Step(kSlots);
    loose.mEstimate = Time::FromSeconds(5);
    Submit("loose", { loose });
  }

  void SubmitGang(std::uint32_t aTasks)
  {
    mQueue = mQueue.WithPriority(0).WithPathPrefix("/high/").WithSlack(Time::FromSeconds(5));
    auto gang = Step(aTasks);
    gang.mGang = true;
    Submit("gang", { gang });
  }

  /// Ends one of the runs.
  void EndRun()
  {
    const auto [worker, run] = mRunning.back();
    mRunning.pop_back();
    std::vector<RunningRun> running;
    for (const auto& [other, left] : mRunning) {
      if (other == worker) {
        running.push_back(Running(left));
      }
    }
    Poll(worker, std::move(running), { Ended(++mEnds[worker], run, RunEnd::Done) });
    StoreAll();
  }

  /// @returns the number of starts of a job since the last call.
  std::size_t CountStarts(const std::string& aJob)
  {
    const auto starts = TakeStarts();
    return static_cast<std::size_t>(
      std::count_if(starts.begin(), starts.end(), [&](const StartRun& aStart) {
        return aStart.Task().Job() == aJob;
      }));
  }

  std::vector<std::pair<std::string, RunId>> mRunning;
  std::map<std::string, std::uint64_t> mEnds;
};

} // namespace

/// Load pattern: a burst of gangs beside many independent tasks, in a full pool. The tasks
/// took each piece of room as it appeared, and the gangs, of higher priority, waited for 5 to 20 s.
TEST_GROUP(GangReservationInCell){};

TEST(GangReservationInCell, CapacityAddsUpForAGangBesideTasksOfLowerPriority)
{
  FullCell cell;
  cell.SubmitGang(4);
  cell.TakeStarts();
  for (int i = 0; i < 3; ++i) {
    cell.EndRun();
    CHECK_EQUAL(0, cell.TakeStarts().size());
  }
  cell.EndRun();
  CHECK_EQUAL(4, cell.CountStarts("gang"));
}

TEST(GangReservationInCell, CapacityBeyondWhatTheGangNeedsIsUsed)
{
  FullCell cell;
  cell.SubmitGang(2);
  cell.TakeStarts();
  std::size_t gang = 0;
  std::size_t loose = 0;
  for (int i = 0; i < kSlots; ++i) {
    cell.EndRun();
    for (const auto& start : cell.TakeStarts()) {
      ++(start.Task().Job() == "gang" ? gang : loose);
    }
  }
  CHECK_EQUAL(2, gang);
  CHECK_EQUAL(kSlots - 2, loose);
}

TEST(GangReservationInCell, TaskThatHasToStartSoonIsNotKeptWaiting)
{
  FullCell cell;
  cell.SubmitGang(4);
  cell.TakeStarts();
  // Three of the five seconds that the waiting tasks can lose have passed.
  cell.mNow = cell.mNow + Time::FromMilliseconds(3000);
  cell.EndRun();
  CHECK_EQUAL(1, cell.CountStarts("loose"));
}

// A task of a service that has ended is missed until it runs again, however old its job is.
TEST(GangReservationInCell, LongRunningTaskIsNotKeptWaiting)
{
  FullCell cell;
  cell.SubmitGang(4);
  cell.mQueue = cell.mQueue.WithPriority(0).WithPathPrefix("/service/");
  auto service = CellFixture::Step(1);
  service.mLongRunning = true;
  service.mEstimate = Time::FromSeconds(60);
  cell.Submit("service", { service });
  cell.TakeStarts();
  cell.mNow = cell.mNow + Time::FromMilliseconds(500);
  cell.EndRun();
  CHECK_EQUAL(1, cell.CountStarts("service"));
}

TEST(GangReservationInCell, NothingIsReservedForAGangWiderThanThePool)
{
  FullCell cell;
  cell.SubmitGang(kSlots + 1);
  cell.TakeStarts();
  cell.EndRun();
  CHECK_EQUAL(1, cell.CountStarts("loose"));
}

// The room that was kept for the first members held their processor time, which a scavenging task
// does not reserve, so that the gang was never placed beside free capacity.
TEST(GangReservationInCell, GangOfScavengingTasksReservesNoProcessorTime)
{
  CellFixture cell(1);
  auto gang = CellFixture::Step(3);
  gang.mGang = true;
  gang.mScavenging = true;
  gang.mDemand = Resources::Create({ .mCpuMillis = 3000, .mMemoryMb = 128 }).value();
  cell.Submit("gang", { gang });
  CHECK_EQUAL(3, cell.TakeStarts().size());
}
