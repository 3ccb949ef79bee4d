#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "by_cell/by_cell.h"

namespace by {

/// The faults of a simulated history.
struct CellFaults
{
  /// Share of orders that get no answer, half of which are carried out late. [percent]
  int mLostOrders{ 0 };
  /// Share of appends whose answer is lost. Rejections are drawn separately, half as often, and so
  /// are appends that never reach the store, 30 % as often. [percent]
  int mLostAppends{ 0 };
  /// Mean time between takeovers, worker crashes and network cuts; zero for none. [ms]
  int mTakeoverEvery{ 0 };
  int mCrashEvery{ 0 };
  int mCutEvery{ 0 };
  /// Share of jobs one task of which crashes each worker that starts it. [percent]
  int mCrashingJobs{ 0 };
  /// Mean time between restarts of a worker under its name, which the registry shows some time
  /// later; zero for none. Some tasks are long then. [ms]
  int mRestartEvery{ 0 };
  /// Mean time between changes of a worker's capacity; zero for none. [ms]
  int mResizeEvery{ 0 };
  /// Mean time between changes of the teams' quotas; zero for no teams. [ms]
  int mQuotaChangeEvery{ 0 };
  /// Share of the orders and polls that meet a cut and are carried out once it is over, without an
  /// answer: the network holds back what a node has sent, also after it gave the call up. [percent]
  int mHeldCalls{ 0 };
  /// How many ends a worker lists at a time at most, the oldest first; zero for all.
  std::size_t mListedEnds{ 0 };
  /// Share of the failed runs of gangs in which several or all members fail at the same time; in
  /// the others one fails. Also applies to the time without faults. [percent]
  int mJointFailures{ 60 };
};

/// Simulates a cell under faults: successive owners, workers that carry out orders late, and a
/// store that fences. Checks the rules by what workers and callers observe.
class CellSimulation
{
public:
  CellSimulation(std::uint32_t aSeed, CellFaults aFaults);

  /// Runs callers and faults for a time, then continues without them until all jobs have ended.
  void Simulate(int aMilliseconds);
  /// @returns the violated rules, each with what was observed.
  const std::vector<std::string>& Violations() const { return mViolations; }
  /// @returns how many runs workers have started.
  int Starts() const { return mStarts; }

private:
  struct Run
  {
    JobTaskKey mTask;
    std::uint32_t mRun;
    /// What remains of its work, and all of it. [ms]
    int mWork;
    int mAllWork;
    bool mFails;
    Time mBegan;
    /// When it crashes its worker; Never() for a harmless run.
    Time mCrashesAt;
  };
  struct Worker
  {
    std::string mId;
    Time mProcessStart;
    /// The rate of the worker's clock relative to the owner's.
    double mRate{ 1.0 };
    bool mUp{ true };
    /// Its capacity, and the largest that it had within kCapacityNotice. [millicores]
    std::int64_t mCpu{ kCpu };
    std::vector<std::pair<Time, std::int64_t>> mLargerCpu;
    Time mCutUntil{};
    Time mDownUntil{};
    /// The highest epoch that the worker has seen.
    std::uint64_t mToken{ 0 };
    double mWorkerClock{ 0 };
    double mLease{ 0 };
    std::vector<Run> mRuns;
    /// Tasks whose start was sent to this process and not answered.
    std::set<JobTaskKey> mUnansweredStarts;
    std::vector<EndedRun> mEnded;
    std::uint64_t mLastEnd{ 0 };
    std::map<std::uint64_t, Time> mEndTimes;
    std::map<JobTaskKey, std::uint32_t> mHighestClosedRun;
    /// When the worker last noticed that its lease had expired.
    Time mLeaseExpiredAt{};
  };
  struct Owner
  {
    CellState mCell;
    bool mStopped{ false };
  };
  struct ScheduledAction
  {
    Time mAt;
    std::function<void()> mAction;
  };
  /// The actual state of a task, independent of what owner and workers believe.
  struct TaskFacts
  {
    std::set<std::uint32_t> mFailed;
    std::set<std::uint32_t> mFailedAcknowledged;
    bool mDone{ false };
    bool mDoneAcknowledged{ false };
    /// When a worker last began a run of it.
    Time mLastStart{};
    /// The workers that crashed under it, those that crashed because of it, and the starts after
    /// three of the latter.
    int mCrashes{ 0 };
    int mOwnCrashes{ 0 };
    int mStartsAfterCrashes{ 0 };
  };

  int Draw(int aBelow) { return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow)); }
  bool Chance(int aPercent) { return Draw(100) < aPercent; }
  bool Every(int aMean) { return aMean > 0 && Draw(aMean) < kStep; }
  void After(int aMilliseconds, std::function<void()> aAction);
  void ReportViolation(const std::string& aRule, const std::string& aSeen);

  void Step(bool aWithoutFaults);
  /// Confirms the newest owner, as reads of its claim do while the store is quiet.
  void ConfirmOwner();
  void SubmitRandomJobs();
  void Perform(const std::shared_ptr<Owner>& aOwner, Effects aEffects);
  void Deliver(const std::shared_ptr<Owner>& aOwner,
               const std::function<void(CellState&, Effects&)>& aEvent);
  void Append(const std::shared_ptr<Owner>& aOwner, const AppendToCell& aAppend);
  /// Carries out an order at a worker; the second argument is whether it does so late.
  using OrderAction = std::function<OrderOutcome(Worker&, bool)>;
  /// @param aProcessStart the process that the order is for; zero if any may receive it.
  void Order(const std::shared_ptr<Owner>& aOwner,
             const std::string& aWorker,
             Time aProcessStart,
             const OrderAction& aAction,
             const std::function<void(CellState&, Effects&, OrderOutcome)>& aAnswer);
  void Poll(const std::shared_ptr<Owner>& aOwner, const PollWorker& aPoll);
  /// Does what a poll asks of a worker, which it is for.
  void CarryOut(Worker& aWorker, const PollWorker& aPoll);
  /// Carries out a call that meets a cut once that is over, if the network holds it back and the
  /// worker's process is still the same.
  void HoldBack(const std::string& aWorker,
                Time aProcessStart,
                const std::function<void(Worker&)>& aAction);
  void ExtendLease(Worker& aWorker, double aUntil);
  OrderOutcome Start(Worker& aWorker, const StartRun& aStart, bool aLate);
  OrderOutcome Stop(Worker& aWorker, const StopRun& aStop);
  void CheckStart(const Worker& aWorker, const StartRun& aStart, bool aLate);
  void TakeOver();
  void Work(Worker& aWorker);
  void EndRunOf(Worker& aWorker, std::size_t aIndex, RunEnd aEnd);
  void WorkGangs();
  /// @returns the chance of each further member of a gang to fail with the first one. [percent]
  int DrawOtherFailures();
  void Crash(Worker& aWorker);
  /// Crashes a worker that is back soon, before the registry shows it.
  void Restart(Worker& aWorker);
  /// Begins the next process of a worker.
  void Begin(Worker& aWorker);
  void Resize(Worker& aWorker);
  /// Publishes a configuration with random quotas, or without any.
  void ChangeQuotas(bool aUnlimited);
  /// Checks that a start takes its team to no more than the highest quota that may be in force.
  void CheckQuota(const StartRun& aStart);
  /// Crashes a worker if a run there does so now.
  void CrashByTask(Worker& aWorker);
  void CheckFailedJob(const std::string& aJob);
  /// @returns the numbers of the failed runs of a task, or of any member of its gang.
  /// @param aRuns which of the failed runs count.
  std::set<std::uint32_t> FailuresOf(const JobTaskKey& aTask,
                                     std::set<std::uint32_t> TaskFacts::*aRuns) const;
  void Reply(const JobReply& aReply);
  /// @returns the progress that a worker reports of a run. [percent]
  static std::uint32_t ProgressOf(const Run& aRun);
  const JobStep& StepOf(const JobTaskKey& aTask) const;
  WorkerRegistration Registration(const Worker& aWorker) const;

  /// Duration of a simulation step. [ms]
  static constexpr int kStep = 5;
  /// Processor capacity of a worker [millicores], and the attempts of a task.
  static constexpr std::int64_t kCpu = 4000;
  static constexpr std::uint32_t kAttempts = 3;
  /// A start may still count on a quota or a capacity that shrank less than this ago.
  static constexpr Time kCapacityNotice = Time::FromMilliseconds(4500);
  /// The longest time that an order takes which is not late.
  static constexpr Time kOrderNotice = Time::FromMilliseconds(10);

  std::mt19937 mRandom;
  CellFaults mFaults;
  Time mNow{ Time::FromMilliseconds(1000000) };
  std::uint64_t mEpoch{ 1 };
  std::shared_ptr<Owner> mOwner;
  std::vector<ScheduledAction> mScheduledActions;
  std::map<std::string, Worker> mWorkers;
  std::map<std::string, KeyedRecord> mRecords;
  std::uint64_t mStoreEpoch{ 0 };
  std::uint64_t mStoreSequence{ 0 };
  std::map<std::string, CellRequest> mRequests;
  std::map<std::uint64_t, std::string> mCalls;
  std::map<std::uint64_t, JobCallKind> mKinds;
  std::uint64_t mLastCall{ 0 };
  std::set<std::string> mAccepted;
  std::set<std::string> mRefused;
  std::set<std::string> mSubmitted;
  std::map<std::string, Time> mCancelled;
  std::map<JobTaskKey, TaskFacts> mFacts;
  /// Tasks that crash each worker that starts them, with the time from the start to the crash.
  std::map<JobTaskKey, Time> mCrashing;
  std::set<std::string> mFailed;
  /// Whether workers crash for reasons of their own too.
  bool mCrashesAtRandom{ false };
  /// The configuration in force, the quota of each team, and earlier quotas that a start may still
  /// count on, with the end of that time. Zero is no limit. [millicores]
  ClusterConfig mConfig;
  std::map<TeamId, std::int64_t> mQuotas;
  std::vector<std::pair<Time, std::map<TeamId, std::int64_t>>> mEarlierQuotas;
  /// Whether runs of jobs that have ended may be unknown to the owner.
  bool mHasTakeovers{ false };
  /// The submissions of each job that were not answered with Throttled.
  std::map<std::string, int> mUnthrottled;
  std::vector<std::string> mViolations;
  int mStarts{ 0 };
};

} // namespace by
