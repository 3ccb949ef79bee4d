#include "by_cell/WorkerPlay.h"

#include <algorithm>

#include "by_cell/ReportedState.h"

namespace by {

namespace {

constexpr Time kTick = Time::FromMilliseconds(10);
constexpr Time kOrderTimeout = Time::FromMilliseconds(500);
constexpr std::int64_t kWhole = 100;

} // namespace

WorkerPlay::WorkerPlay(int aWorkers)
  : mCell(aWorkers)
{
  for (const auto& [id, row] : mCell.mCell.mWorkers) {
    mWorkers[id].mEntry = row.mRegistration.WithMachine(id);
    Register(mWorkers[id]);
  }
}

void
WorkerPlay::Submit(const std::string& aJob, std::vector<JobStep::Fields> aSteps)
{
  mCell.SubmitUnstored(aJob, std::move(aSteps));
  Perform();
}

void
WorkerPlay::LetCrash(const JobTaskKey& aTask, Time aDelay)
{
  mCrashDelays[aTask] = aDelay;
}

void
WorkerPlay::Play(Time aTime)
{
  const auto until = mCell.mNow + aTime;
  while (mCell.mNow < until) {
    Tick();
  }
}

void
WorkerPlay::Crash(const std::string& aWorker)
{
  auto* found = Find(aWorker);
  if (found == nullptr) {
    return;
  }
  auto& worker = *found;
  ++mCrashes;
  for (const auto& run : worker.mRuns) {
    mAwaySince[run.mRun.mTask] = mCell.mNow;
  }
  worker.mIsUp = false;
  worker.mUpAt = mCell.mNow + mDownTime;
  worker.mRuns.clear();
  worker.mEnded.clear();
  worker.mLastEnd = 0;
  const auto down = std::count_if(
    mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) { return !aEntry.second.mIsUp; });
  mMostDown = std::max(mMostDown, static_cast<int>(down));
}

void
WorkerPlay::TakeOver()
{
  mCell.mOut.clear();
  mTimeouts.clear();
  mCell = mCell.Successor();
  Perform();
}

void
WorkerPlay::TakeOverFromWorkersThatAreUp()
{
  mCell.mOut.clear();
  mTimeouts.clear();
  mCell = mCell.SuccessorWithoutRegistry();
  std::vector<WorkerRegistration> workers;
  for (const auto& [machine, worker] : mWorkers) {
    if (worker.mIsUp) {
      workers.push_back(worker.mEntry);
    }
  }
  mCell.ReadRegistry(workers);
  Perform();
}

void
WorkerPlay::SetCpu(const std::string& aWorker, std::int64_t aCpuMillis)
{
  auto& worker = *Find(aWorker);
  worker.mEntry = worker.mEntry.WithCapacity(worker.mEntry.Capacity().WithCpuMillis(aCpuMillis));
  Register(worker);
  Perform();
}

JobState
WorkerPlay::StateOf(const std::string& aJob)
{
  return ReportedState(mCell, aJob);
}

Time
WorkerPlay::LongestAway(const std::string& aJob) const
{
  Time longest;
  for (const auto& [task, away] : mLongestAway) {
    longest = task.Job() == aJob ? std::max(longest, away) : longest;
  }
  for (const auto& [task, since] : mAwaySince) {
    if (task.Job() == aJob && WorkersOf(task).empty()) {
      longest = std::max(longest, mCell.mNow - since);
    }
  }
  return longest;
}

void
WorkerPlay::NoteAway(const JobTaskKey& aTask)
{
  const auto since = mAwaySince.find(aTask);
  if (since != mAwaySince.end()) {
    mLongestAway[aTask] = std::max(mLongestAway[aTask], mCell.mNow - since->second);
  }
}

std::vector<std::string>
WorkerPlay::WorkersOf(const JobTaskKey& aTask) const
{
  std::vector<std::string> workers;
  for (const auto& [machine, worker] : mWorkers) {
    for (const auto& run : worker.mRuns) {
      if (run.mRun.mTask == aTask) {
        workers.push_back(worker.mEntry.Id());
      }
    }
  }
  return workers;
}

int
WorkerPlay::Logged(const std::string& aEvent) const
{
  return static_cast<int>(std::count(mEvents.begin(), mEvents.end(), aEvent));
}

void
WorkerPlay::Tick()
{
  mCell.mNow = mCell.mNow + kTick;
  mCell.mCell.mConfirmedAt = mCell.mNow;
  for (auto& [machine, worker] : mWorkers) {
    if (!worker.mIsUp && worker.mUpAt <= mCell.mNow) {
      Return(worker);
    }
    if (worker.mIsUp) {
      Work(worker);
    }
  }
  std::vector<StartRun> due;
  std::erase_if(mTimeouts, [&](const auto& aEntry) {
    if (aEntry.first > mCell.mNow) {
      return false;
    }
    due.push_back(aEntry.second);
    return true;
  });
  for (const auto& start : due) {
    AnswerStart(start, OrderOutcome::Unanswered);
  }
  CheckCell(mCell.mCell, mCell.mNow, mCell.mOut);
  mCell.Advance();
  Perform();
}

void
WorkerPlay::Perform()
{
  while (!mCell.mOut.empty()) {
    const auto effects = std::exchange(mCell.mOut, {});
    for (const auto& effect : effects) {
      const auto& body = effect.Body();
      if (const auto* start = std::get_if<StartRun>(&body)) {
        Start(*start);
      } else if (const auto* poll = std::get_if<PollWorker>(&body)) {
        Poll(*poll);
      } else if (const auto* stop = std::get_if<StopRun>(&body)) {
        Stop(*stop);
      } else if (const auto* log = std::get_if<LogLine>(&body)) {
        mEvents.push_back(log->Event());
      } else if (std::holds_alternative<AppendToCell>(body)) {
        mCell.mOut.push_back(effect);
        mCell.Store();
      }
    }
  }
}

void
WorkerPlay::Start(const StartRun& aStart)
{
  auto* worker = Find(aStart.Worker());
  if (worker == nullptr || !worker->mIsUp) {
    if (worker != nullptr && !mIsSilent) {
      AnswerStart(aStart, OrderOutcome::NotSent);
    } else {
      mTimeouts.emplace_back(mCell.mNow + kOrderTimeout, aStart);
    }
    return;
  }
  const auto& task = aStart.Task();
  if (mLosesFirstOrders && mLostOrders.insert({ task, aStart.Run() }).second) {
    mTimeouts.emplace_back(mCell.mNow + kOrderTimeout, aStart);
    return;
  }
  ++mStarts[task];
  NoteAway(task);
  const auto own = mDurations.find(task.Job());
  Active run{ { task, aStart.Run() },
              mCell.mNow,
              mCell.mNow + (own == mDurations.end() ? mDuration : own->second) };
  const auto delay = mCrashDelays.find(task);
  if (delay == mCrashDelays.end() || delay->second > Time()) {
    run.mCrashesAt = delay == mCrashDelays.end() ? Time::Never() : mCell.mNow + delay->second;
    worker->mRuns.push_back(run);
    AnswerStart(aStart, OrderOutcome::Accepted);
    return;
  }
  mLostBeside += static_cast<int>(worker->mRuns.size());
  Crash(aStart.Worker());
  mTimeouts.emplace_back(mCell.mNow + kOrderTimeout, aStart);
}

void
WorkerPlay::AnswerStart(const StartRun& aStart, OrderOutcome aOutcome)
{
  mCell.Started(aStart.Worker(), { aStart.Task(), aStart.Run() }, aOutcome);
}

void
WorkerPlay::Poll(const PollWorker& aPoll)
{
  auto* worker = Find(aPoll.Worker());
  WorkerPolled::Fields answer{ .mWorker = aPoll.Worker(), .mOutcome = OrderOutcome::Unanswered };
  if (worker == nullptr) {
    answer.mOutcome = mIsMoved ? OrderOutcome::Unanswered : OrderOutcome::WrongWorker;
  } else if (worker->mIsUp) {
    std::erase_if(worker->mEnded,
                  [&](const EndedRun& aEnd) { return aEnd.Number() <= aPoll.Acknowledged(); });
    WorkerReport::Fields report;
    report.mWorkerClock = mCell.mNow;
    report.mProcessStart = worker->mEntry.ProcessStart();
    for (const auto& run : worker->mRuns) {
      const auto percent = (mCell.mNow - run.mBegan).Milliseconds() * kWhole /
                           (run.mEndsAt - run.mBegan).Milliseconds();
      report.mRunning.push_back(
        CellFixture::Running(run.mRun, static_cast<std::uint32_t>(percent)));
    }
    report.mEnded = worker->mEnded;
    answer.mOutcome = OrderOutcome::Accepted;
    answer.mReport = WorkerReport::Create(std::move(report)).value();
  }
  HandlePolled(
    mCell.mCell, WorkerPolled::Create(std::move(answer)).value(), mCell.mNow, mCell.mOut);
}

void
WorkerPlay::Stop(const StopRun& aStop)
{
  const RunId stopped{ aStop.Task(), aStop.Run() };
  auto* worker = Find(aStop.Worker());
  if (worker == nullptr || !worker->mIsUp) {
    mCell.Stopped(aStop.Worker(), stopped, OrderOutcome::Unanswered);
    return;
  }
  const auto removed =
    std::erase_if(worker->mRuns, [&](const Active& aRun) { return aRun.mRun == stopped; });
  if (removed > 0) {
    worker->mEnded.push_back(CellFixture::Ended(++worker->mLastEnd, stopped, RunEnd::Stopped));
  }
  mCell.Stopped(aStop.Worker(), stopped, OrderOutcome::Accepted);
}

void
WorkerPlay::Return(Worker& aWorker)
{
  aWorker.mIsUp = true;
  aWorker.mEntry = aWorker.mEntry.WithProcessStart(mCell.mNow);
  if (mIsRenamed) {
    aWorker.mEntry = aWorker.mEntry.WithId(aWorker.mEntry.Id() + "x");
  }
  Register(aWorker);
}

void
WorkerPlay::Work(Worker& aWorker)
{
  for (const auto& run : aWorker.mRuns) {
    if (run.mCrashesAt <= mCell.mNow) {
      mLostBeside += static_cast<int>(aWorker.mRuns.size()) - 1;
      Crash(aWorker.mEntry.Id());
      return;
    }
  }
  std::erase_if(aWorker.mRuns, [&](const Active& aRun) {
    if (aRun.mEndsAt > mCell.mNow) {
      return false;
    }
    aWorker.mEnded.push_back(CellFixture::Ended(++aWorker.mLastEnd, aRun.mRun, RunEnd::Done));
    return true;
  });
}

void
WorkerPlay::Register(const Worker& aWorker)
{
  HandleWorkersChanged(mCell.mCell,
                       WorkersChanged::Create({ .mPresent = { aWorker.mEntry } }).value(),
                       mCell.mNow,
                       mCell.mOut);
}

WorkerPlay::Worker*
WorkerPlay::Find(const std::string& aName)
{
  for (auto& [machine, worker] : mWorkers) {
    if (worker.mEntry.Id() == aName) {
      return &worker;
    }
  }
  return nullptr;
}

} // namespace by
