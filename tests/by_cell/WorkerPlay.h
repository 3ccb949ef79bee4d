#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "by_cell/CellFixture.h"

namespace by {

/// A cell with workers that carry out its orders, crash under some tasks and come back.
class WorkerPlay
{
public:
  explicit WorkerPlay(int aWorkers);

  /// Submits and stores a job.
  void Submit(const std::string& aJob, std::vector<JobStep::Fields> aSteps);
  /// Lets a task crash each worker that starts it.
  /// @param aDelay the time from its start to the crash; zero for before the start is answered.
  void LetCrash(const JobTaskKey& aTask, Time aDelay);
  /// Lets time pass.
  void Play(Time aTime);
  /// Ends a worker's process without notice.
  void Crash(const std::string& aWorker);
  /// Replaces the owner of the cell by one that knows what is stored.
  void TakeOver();
  /// The same for an owner that finds only the workers that are up in the registry.
  void TakeOverFromWorkersThatAreUp();
  /// Registers a worker with another capacity.
  void SetCpu(const std::string& aWorker, std::int64_t aCpuMillis);

  JobState StateOf(const std::string& aJob);
  /// @returns how many workers have begun a task.
  int Starts(const JobTaskKey& aTask) { return mStarts[aTask]; }
  /// @returns how many workers have crashed, and how many runs of other tasks ended with them.
  int Crashes() const { return mCrashes; }
  int LostBeside() const { return mLostBeside; }
  /// @returns the most workers that were down at the same time.
  int MostDown() const { return mMostDown; }
  /// @returns the longest time that a task of a job had no run, since the job was submitted.
  Time LongestAway(const std::string& aJob) const;
  /// @returns the workers that run a task.
  std::vector<std::string> WorkersOf(const JobTaskKey& aTask) const;
  /// @returns the lines of the log with an event.
  int Logged(const std::string& aEvent) const;

  CellFixture mCell;
  /// How long a worker is down after a crash, and whether its next process has another name.
  Time mDownTime{ Time::FromMilliseconds(1500) };
  bool mIsRenamed{ false };
  /// Whether it has another address too.
  bool mIsMoved{ false };
  /// How long the tasks of a job run; the default is the first one.
  std::map<std::string, Time> mDurations;
  Time mDuration{ Time::FromMilliseconds(300) };
  /// Whether a worker that is down leaves calls unanswered instead of refusing connections.
  bool mIsSilent{ false };
  /// Whether the first order of each start is lost, so that it is sent again.
  bool mLosesFirstOrders{ false };

private:
  struct Active
  {
    RunId mRun;
    Time mBegan;
    Time mEndsAt;
    Time mCrashesAt{ Time::Never() };
  };
  struct Worker
  {
    WorkerRegistration mEntry;
    bool mIsUp{ true };
    Time mUpAt{};
    std::vector<Active> mRuns;
    std::vector<EndedRun> mEnded;
    std::uint64_t mLastEnd{ 0 };
  };

  void Tick();
  void NoteAway(const JobTaskKey& aTask);
  void Perform();
  void Start(const StartRun& aStart);
  void Poll(const PollWorker& aPoll);
  void Stop(const StopRun& aStop);
  void AnswerStart(const StartRun& aStart, OrderOutcome aOutcome);
  void Return(Worker& aWorker);
  void Work(Worker& aWorker);
  void Register(const Worker& aWorker);
  Worker* Find(const std::string& aName);

  /// Workers by machine.
  std::map<std::string, Worker> mWorkers;
  std::map<JobTaskKey, Time> mCrashDelays;
  std::map<JobTaskKey, int> mStarts;
  /// When a run of a task last ended or its job was submitted, and the longest time until the next.
  std::map<JobTaskKey, Time> mAwaySince;
  std::map<JobTaskKey, Time> mLongestAway;
  std::vector<std::pair<Time, StartRun>> mTimeouts;
  std::set<RunId> mLostOrders;
  std::vector<std::string> mEvents;
  int mCrashes{ 0 };
  int mLostBeside{ 0 };
  int mMostDown{ 0 };
};

} // namespace by
