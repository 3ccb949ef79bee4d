#pragma once

#include <string>
#include <vector>

#include "by_cell/by_cell.h"

namespace by {

/// A cell with workers and one queue, and the answers that the store and the workers give.
struct CellFixture
{
  /// @param aWorkers the number of workers, named w1 and on, each in a rack of its own.
  explicit CellFixture(int aWorkers = 2);

  /// A step of tasks that take one core and 100 ms each.
  static JobStep::Fields Step(std::uint32_t aCount);
  /// A submission to the fixture's queue.
  CellRequest Submission(const std::string& aJob, std::vector<JobStep::Fields> aSteps) const;
  /// Submits a job without storing anything.
  void SubmitUnstored(const std::string& aJob, std::vector<JobStep::Fields> aSteps);
  /// Submits a job and stores it.
  void Submit(const std::string& aJob, std::vector<JobStep::Fields> aSteps);
  /// Sends a request and returns its effects.
  Effects Call(JobCallKind aKind, const std::string& aJob);

  /// Does the work that is due, and collects the effects.
  void Advance();
  /// Advances the time, with the periodic checks.
  void AdvanceTime(Time aTime);
  /// Advances the time, and stores all records on the way.
  void AdvanceTimeStoring(Time aTime);
  /// Answers the append that is in flight.
  void Store(StoreOutcome aOutcome = StoreOutcome::Done);
  /// Works and stores until no changes are left to store.
  void StoreAll();
  /// Answers a poll of a worker with a report.
  void Poll(const std::string& aWorker,
            std::vector<RunningRun> aRunning,
            std::vector<EndedRun> aEnded,
            Time aProcessStart = Time());
  /// Lets time pass while workers without runs answer their polls.
  void PlayIdleWorkers(Time aTime);
  /// Fails the polls of a worker until its lease is no longer renewed.
  void LoseWorker(const std::string& aWorker);
  /// Answers a start.
  void Started(const std::string& aWorker, const RunId& aRun, OrderOutcome aOutcome);
  /// Answers a stop.
  void Stopped(const std::string& aWorker, const RunId& aRun, OrderOutcome aOutcome);
  /// Builds the cell of the next owner from the stored records.
  CellFixture Successor() const;
  /// Builds the same cell before it has read the registry.
  CellFixture SuccessorWithoutRegistry() const;
  /// Reads a complete registry that lists some workers.
  void ReadRegistry(const std::vector<WorkerRegistration>& aWorkers);

  /// @returns the starts among the effects since the last call.
  std::vector<StartRun> TakeStarts();
  std::vector<StopRun> TakeStops();
  std::vector<PollWorker> TakePolls();
  std::vector<JobReply> TakeReplies();
  std::vector<RequestAdvice> TakeAdviceRequests();
  std::vector<StartMaintenance> TakeMaintenanceOrders();
  std::vector<PublishWave> TakePublishedWaves();
  /// @returns the newest record of each key that was stored.
  std::vector<KeyedRecord> Stored() const;

  static RunId Run(const std::string& aJob,
                   std::uint32_t aIndex,
                   std::uint32_t aRun,
                   std::uint32_t aStep = 0);
  static RunningRun Running(const RunId& aRun, std::uint32_t aPercent = 10);
  static EndedRun Ended(std::uint64_t aNumber, const RunId& aRun, RunEnd aEnd);

  CellState mCell;
  Time mNow{ Time::FromMilliseconds(1000000) };
  Effects mOut;
  std::vector<KeyedRecord> mRecords;
  QueuePolicy mQueue;
};

} // namespace by
