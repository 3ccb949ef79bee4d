#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "by_cell/CellFixture.h"

namespace by {

/// A cell with workers that carry out its orders and have room for two members of a gang each.
struct GangPlay : CellFixture
{
  explicit GangPlay(int aWorkers);

  /// A gang of which two members fill a worker.
  static JobStep::Fields Gang(std::uint32_t aCount);
  /// Lets the queue need advice, which is answered at once and allows some workers.
  void RequireAdvice(const std::set<std::string>& aAllowed);
  /// Lets time pass.
  void Play(Time aTime);

  bool IsQuarantined(const std::string& aWorker) const;
  /// @returns the highest number of a run of a job that was started; zero before the first.
  std::uint32_t LastRun(const std::string& aJob) const;

  /// How the worker answers a start, and how a run ends after 200 ms.
  std::function<OrderOutcome(const StartRun&)> mAnswer;
  std::function<RunEnd(const RunId&)> mEnd;
  /// The runs on each worker, and when they end.
  std::map<std::string, std::map<RunId, Time>> mRunning;
  /// The most runs that a worker had at the same time.
  std::map<std::string, std::size_t> mMostRuns;

private:
  void Perform();
  void AnswerAdvice();
  void Report();

  std::set<std::string> mAllowed;
  std::map<std::string, std::uint64_t> mLastEnds;
  std::map<std::string, std::uint32_t> mLastRuns;
  std::map<std::string, std::vector<EndedRun>> mNewEnds;
};

} // namespace by
