#include "by_cell/CellFixture.h"
#include "by_cell/TakeAll.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace by;

namespace {

constexpr Time kNextStart = Time::FromMilliseconds(777777);
/// A crash is weighed for the last time once other losses at the same time are known.
constexpr Time kUntilSettled = Time::FromMilliseconds(1500);
/// The weight of a crash without another explanation.
constexpr std::uint32_t kFullBlame = 4;

void
PollAnswered(CellFixture& aCell, const std::string& aWorker, OrderOutcome aOutcome)
{
  HandlePolled(aCell.mCell,
               WorkerPolled::Create({ .mWorker = aWorker, .mOutcome = aOutcome }).value(),
               aCell.mNow,
               aCell.mOut);
}

/// Tasks that take a worker each.
JobStep::Fields
LargeTasks(std::uint32_t aCount)
{
  auto step = CellFixture::Step(aCount);
  step.mDemand = Resources::Create({ .mCpuMillis = 4000, .mMemoryMb = 128 }).value();
  return step;
}

/// Submits a job, and returns the workers of its tasks.
std::map<RunId, std::string>
Place(CellFixture& aCell, const std::string& aJob, std::uint32_t aTasks)
{
  aCell.TakeStarts();
  aCell.Submit(aJob, { LargeTasks(aTasks) });
  std::map<RunId, std::string> workers;
  for (const auto& start : aCell.TakeStarts()) {
    workers[{ start.Task(), start.Run() }] = start.Worker();
  }
  return workers;
}

std::size_t
CountCrashes(CellFixture& aCell)
{
  const auto lines = TakeAll<LogLine>(aCell.mOut);
  return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [](const auto& aLine) {
    return aLine.Event() == "worker.crashed";
  }));
}

} // namespace

/// The end of one process was counted as a crash for each call that another worker answered at its
/// address. So many crashes explained those of a task that crashes its workers, which was not
/// blamed for them.
TEST_GROUP(CrashReports){};

TEST(CrashReports, WorkersWhoseEndSeveralCallsShowDoNotExcuseATaskThatCrashesItsWorker)
{
  CellFixture cell(40);
  Place(cell, "others", 5);
  for (const auto& [run, worker] : Place(cell, "lost", 2)) {
    cell.mCell.mWorkers.at(worker).mPollInFlight = true;
    cell.Started(worker, run, OrderOutcome::WrongWorker);
    PollAnswered(cell, worker, OrderOutcome::WrongWorker);
  }
  const auto [bad, host] = *Place(cell, "bad", 1).begin();
  cell.Started(host, bad, OrderOutcome::Accepted);
  cell.Poll(host, {}, {}, kNextStart);
  cell.AdvanceTime(kUntilSettled);
  const auto& task = cell.mCell.mJobs.at("bad").mOccurrences.at(0).mTasks.at(0);
  CHECK_EQUAL(1, task.mCrashes.mRuns.size());
  CHECK_EQUAL(kFullBlame, task.mCrashes.mRuns.front().mBlame);
}

/// The address of an entry that may be left over is polled in turn with the known one, where
/// another worker answers each time.
TEST(CrashReports, WorkerThatIsPolledAtTwoAddressesCrashesOnce)
{
  CellFixture cell(1);
  const auto endpoint = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 9100 }).value();
  const auto& entry = cell.mCell.mWorkers.at("w1").mRegistration;
  cell.ReadRegistry({ entry.WithProcessStart(Time::FromMilliseconds(500)).WithEndpoint(endpoint) });
  cell.Advance();
  std::size_t crashes = 0;
  for (int n = 0; n < 10; ++n) {
    const auto polls = cell.TakePolls();
    const bool isElsewhere = !polls.empty() && polls.back().Endpoint() == endpoint;
    PollAnswered(cell, "w1", isElsewhere ? OrderOutcome::Unanswered : OrderOutcome::WrongWorker);
    crashes += CountCrashes(cell);
    cell.AdvanceTime(Time::FromMilliseconds(200));
  }
  CHECK_EQUAL(1, crashes);
}

TEST(CrashReports, EndThatTheRegistryAndAPollShowIsOneCrash)
{
  CellFixture cell(2);
  const auto placed = Place(cell, "j", 1);
  const auto& [run, worker] = *placed.begin();
  cell.Started(worker, run, OrderOutcome::Accepted);
  PollAnswered(cell, worker, OrderOutcome::WrongWorker);
  const auto& entry = cell.mCell.mWorkers.at(worker).mRegistration;
  cell.ReadRegistry({ entry.WithProcessStart(kNextStart) });
  const auto crashes = CountCrashes(cell);
  CHECK_EQUAL(1, crashes);
}

/// The next process of a worker may crash too.
TEST(CrashReports, CrashesOfTwoProcessesAreTwo)
{
  CellFixture cell(1);
  cell.Poll("w1", {}, {}, kNextStart);
  cell.Poll("w1", {}, {}, kNextStart + Time::FromMilliseconds(1));
  const auto crashes = CountCrashes(cell);
  CHECK_EQUAL(2, crashes);
}
