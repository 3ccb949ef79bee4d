#include "by_cell/GangPlay.h"

#include <algorithm>
#include <utility>

namespace by {

namespace {

constexpr Time kTick = Time::FromMilliseconds(50);
constexpr Time kDuration = Time::FromMilliseconds(200);

} // namespace

GangPlay::GangPlay(int aWorkers)
  : CellFixture(aWorkers)
  , mAnswer([](const StartRun&) { return OrderOutcome::Accepted; })
  , mEnd([](const RunId&) { return RunEnd::Done; })
{
  mQueue = mQueue.WithMaxAttempts(20);
  mCell.mConfig =
    ClusterConfig::Create({ .mVersion = 2, .mQueues = { mQueue }, .mPools = {} }).value();
}

JobStep::Fields
GangPlay::Gang(std::uint32_t aCount)
{
  auto step = Step(aCount);
  step.mGang = true;
  step.mDemand = Resources::Create({ .mCpuMillis = 2000, .mMemoryMb = 128 }).value();
  return step;
}

void
GangPlay::RequireAdvice(const std::set<std::string>& aAllowed)
{
  mAllowed = aAllowed;
  mQueue = mQueue.WithAdvice(
    AdvicePolicy::Create(
      { .mDecisionUs = 10000, .mWorkerUs = 1000, .mValidity = Time::FromSeconds(2) })
      .value());
  mCell.mConfig =
    ClusterConfig::Create({ .mVersion = 3, .mQueues = { mQueue }, .mPools = {} }).value();
}

void
GangPlay::Play(Time aTime)
{
  const auto until = mNow + aTime;
  while (mNow < until) {
    AnswerAdvice();
    Perform();
    Report();
    AdvanceTimeStoring(kTick);
  }
}

bool
GangPlay::IsQuarantined(const std::string& aWorker) const
{
  return mCell.mWorkers.at(aWorker).mQuarantinedUntil > Time();
}

std::uint32_t
GangPlay::LastRun(const std::string& aJob) const
{
  const auto it = mLastRuns.find(aJob);
  return it == mLastRuns.end() ? 0 : it->second;
}

void
GangPlay::AnswerAdvice()
{
  for (const auto& query : TakeAdviceRequests()) {
    std::vector<Ticket> tickets;
    for (const auto& worker : query.Workers()) {
      if (mAllowed.contains(worker)) {
        tickets.push_back(Ticket::Create({ .mWorker = worker, .mText = "t" }).value());
      }
    }
    HandleAdvice(mCell,
                 AdviceAnswered::Create({ .mJob = query.Job(),
                                          .mAnswered = true,
                                          .mWorkers = query.Workers(),
                                          .mTickets = std::move(tickets) })
                   .value(),
                 mNow,
                 mOut);
  }
}

void
GangPlay::Perform()
{
  for (const auto& start : TakeStarts()) {
    const RunId run{ start.Task(), start.Run() };
    auto& last = mLastRuns[start.Task().Job()];
    last = std::max(last, start.Run());
    const auto outcome = mAnswer(start);
    if (outcome == OrderOutcome::Accepted) {
      auto& runs = mRunning[start.Worker()];
      runs.emplace(run, mNow + kDuration);
      mMostRuns[start.Worker()] = std::max(mMostRuns[start.Worker()], runs.size());
    }
    Started(start.Worker(), run, outcome);
  }
  for (const auto& stop : TakeStops()) {
    const RunId run{ stop.Task(), stop.Run() };
    if (mRunning[stop.Worker()].erase(run) > 0) {
      mNewEnds[stop.Worker()].push_back(Ended(++mLastEnds[stop.Worker()], run, RunEnd::Stopped));
    }
    Stopped(stop.Worker(), run, OrderOutcome::Accepted);
  }
}

void
GangPlay::Report()
{
  for (auto& [worker, runs] : mRunning) {
    std::erase_if(runs, [&, &id = worker](const auto& aEntry) {
      if (aEntry.second > mNow) {
        return false;
      }
      mNewEnds[id].push_back(Ended(++mLastEnds[id], aEntry.first, mEnd(aEntry.first)));
      return true;
    });
  }
  std::vector<std::string> names;
  for (const auto& [name, worker] : mCell.mWorkers) {
    names.push_back(name);
  }
  for (const auto& name : names) {
    std::vector<RunningRun> running;
    for (const auto& [run, endsAt] : mRunning[name]) {
      running.push_back(Running(run));
    }
    Poll(name, std::move(running), std::exchange(mNewEnds[name], {}));
  }
}

} // namespace by
