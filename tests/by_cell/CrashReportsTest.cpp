#include "by_cell/CellFixture.h"
#include "by_cell/TakeAll.h"
#include "by_cell/WorkerPlay.h"
#include "by_crashes/by_crashes.h"

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

/// Registers the workers w1 to w10 in one rack, each on a machine of its own.
void
RegisterRack(CellFixture& aCell)
{
  std::vector<WorkerRegistration> entries;
  for (int n = 1; n <= 10; ++n) {
    const auto id = "w" + std::to_string(n);
    entries.push_back(aCell.mCell.mWorkers.at(id)
                        .mRegistration.WithMachine("m" + std::to_string(n))
                        .WithRack(RackId("r"))
                        .WithLabels({ "r" }));
  }
  HandleWorkersChanged(
    aCell.mCell, WorkersChanged::Create({ .mPresent = entries }).value(), aCell.mNow, aCell.mOut);
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

/// The next worker of a machine, under another name, passed for a worker that had not been lost
/// with the others. So half of a rack was no wide loss any more, and the tasks there were blamed.
TEST(CrashReports, MachineThatComesBackUnderAnotherNameIsCountedOnceInAWideLoss)
{
  CellFixture cell(300);
  RegisterRack(cell);
  auto step = LargeTasks(10);
  step.mRequiredLabel = "r";
  cell.Submit("j", { step });
  for (const auto& start : cell.TakeStarts()) {
    cell.Started(start.Worker(), { start.Task(), start.Run() }, OrderOutcome::Accepted);
  }
  const std::string lost[] = { "w1", "w2", "w3", "w4", "w5" };
  for (const auto& worker : lost) {
    PollAnswered(cell, worker, OrderOutcome::Unanswered);
  }
  PollAnswered(cell, "w1", OrderOutcome::WrongWorker);
  const auto next =
    cell.mCell.mWorkers.at("w1").mRegistration.WithId("w1x").WithProcessStart(kNextStart);
  HandleWorkersChanged(
    cell.mCell, WorkersChanged::Create({ .mPresent = { next } }).value(), cell.mNow, cell.mOut);
  cell.Poll("w1x", {}, {}, kNextStart);
  step.mCount = 1;
  cell.Submit("k", { step });
  CHECK_EQUAL(1, cell.mCell.mWorkers.at("w1x").mRuns.size());
  cell.AdvanceTime(kUntilSettled);
  for (const auto& task : cell.mCell.mJobs.at("j").mOccurrences.at(0).mTasks) {
    CHECK_EQUAL(0, BlameOf(task.mCrashes));
  }
}

/// Machines that lose power together come back one after another, each with a worker of another
/// name that takes new runs. It passed for a worker that had not been lost, so that the others'
/// crashes were no total loss any more, and their tasks were blamed.
TEST(CrashReports, MachinesThatComeBackUnderOtherNamesAreCountedOnceInALossOfPower)
{
  constexpr int kWorkers = 6;
  WorkerPlay play(kWorkers);
  play.mIsRenamed = true;
  play.mIsMoved = true;
  play.mDuration = Time::FromSeconds(60);
  play.Submit("j", { LargeTasks(kWorkers) });
  play.Play(Time::FromMilliseconds(200));
  for (int w = 1; w <= kWorkers; ++w) {
    play.mDownTime = Time::FromMilliseconds(1500 + 300 * w);
    play.Crash("w" + std::to_string(w));
  }
  play.Submit("k", { LargeTasks(1) });
  play.Play(Time::FromSeconds(10));
  CHECK_EQUAL(kWorkers, play.Logged("worker.crashed"));
  CHECK_EQUAL(kWorkers, play.Logged("crash.dismissed"));
}
