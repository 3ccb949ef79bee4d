#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "by_cell/by_cell.h"

namespace by {

/// Replays captured arrivals of jobs against a cell whose store answers at once, whose workers run
/// tasks for about their declared time, and whose advice service answers one query of a node at a
/// time. Everything is derived from the arrivals, so that equal code gives equal results.
struct LoadReplay
{
  /// One job: a row of a file in tests/by_cell/loads.
  struct Arrival
  {
    Time mAt;
    std::uint32_t mPriority;
    std::uint32_t mTasks;
    /// The time within which the job has to be done.
    Time mObjective;
    /// The team that submits it; empty for none.
    TeamId mTeam{};
  };
  /// What becomes of the jobs of one priority, or of one team.
  struct Share
  {
    std::size_t mJobs{ 0 };
    std::size_t mOnTime{ 0 };
    /// The jobs that were refused because their team exceeds its rate.
    std::size_t mThrottled{ 0 };
  };

  /// @param aWorkers the number of workers, of 16 cores and 32 GB each.
  /// @param aNodes the number of nodes that can query the advice service.
  LoadReplay(int aWorkers, int aNodes);

  /// Reads arrivals: milliseconds, priority, tasks and objective in milliseconds in each line.
  static std::vector<Arrival> ReadArrivals(const std::string& aFile);
  /// Configures teams of one weight.
  void SetTeams(const std::vector<TeamId>& aTeams, std::int64_t aWeight);
  /// Plays all arrivals, and the time until the last objective has passed.
  void Play(const std::vector<Arrival>& aArrivals);
  /// @returns the share of jobs of a priority that were done within their objective.
  double OnTime(std::uint32_t aPriority) const;
  /// @returns the share of jobs of a team that were done within their objective.
  double OnTimeOfTeam(const TeamId& aTeam) const;

  CellState mCell;
  Time mNow{ Time::FromMilliseconds(1000000) };
  std::map<std::uint32_t, Share> mShares;
  std::map<TeamId, Share> mTeamShares;
  /// The jobs that were refused, and the records that were stored.
  std::vector<std::string> mThrottledJobs;
  std::vector<KeyedRecord> mRecords;
  /// The jobs of which a task was started.
  std::set<std::string> mStartedJobs;
  /// The time that nodes spent on advice queries, in total.
  Time mAdviceTime{};

private:
  struct Run
  {
    RunId mId;
    Time mStart;
    Time mEnd;
  };
  struct Worker
  {
    std::vector<Run> mRuns;
    std::vector<EndedRun> mEnded;
    std::uint64_t mLastEnd{ 0 };
    bool mIsPolled{ false };
    Time mPolledUntil{};
  };
  struct Answer
  {
    Time mAt;
    RequestAdvice mQuery;
  };

  void Submit(const Arrival& aArrival, const std::string& aJob);
  void EndRuns();
  void AnswerPolls();
  void AnswerQueries();
  /// Carries out effects until the cell has no more.
  void Perform();
  void Perform(const EntryEffect& aEffect);
  void Query(const std::string& aNode, const RequestAdvice& aQuery);
  void Start(const StartRun& aStart);
  void CountOutcomes();

  Effects mOut;
  std::map<std::string, Worker> mWorkers;
  std::vector<Answer> mAnswers;
  std::map<std::string, Time> mNodeBusyUntil;
  std::map<std::string, Arrival> mOpen;
};

} // namespace by
