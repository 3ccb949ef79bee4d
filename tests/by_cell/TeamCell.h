#pragma once

#include <string>
#include <vector>

#include "by_cell/CellFixture.h"

namespace by {

/// A cell of workers with four cores each, whose configuration has teams.
struct TeamCell : CellFixture
{
  explicit TeamCell(int aWorkers = 2);

  /// @returns a team whose quota limits processor time alone.
  /// @param aQuota in millicores; 0 for no limit.
  static TeamPolicy Team(const std::string& aName, std::int64_t aQuota, std::int64_t aWeight = 1);
  /// Puts a configuration with teams into force.
  void Configure(std::vector<TeamPolicy> aTeams);
  /// Submits a job of a team without storing anything.
  void SubmitUnstoredAs(const std::string& aTeam,
                        const std::string& aJob,
                        std::vector<JobStep::Fields> aSteps);
  /// Submits a job of a team and stores it; the starts that follow are answered.
  void SubmitAs(const std::string& aTeam,
                const std::string& aJob,
                std::vector<JobStep::Fields> aSteps);
  /// Accepts the starts that were sent, and notes their runs.
  /// @returns them.
  std::vector<StartRun> AcceptStarts();
  /// Reports that runs of a job have ended and works on.
  /// @param aRuns the number of runs, the oldest first.
  void EndRuns(const std::string& aJob, std::size_t aRuns);
  /// @returns the processor time that a team is charged with. [millicores]
  std::int64_t Charged(const std::string& aTeam) const;
  /// @returns how many runs of a job have begun and not ended.
  std::size_t CountRunning(const std::string& aJob) const;
  /// @returns the number of log lines with an event since the last call, and drops all others.
  std::size_t TakeLogged(const std::string& aEvent);

  /// Runs that have begun, with their workers.
  std::vector<std::pair<std::string, RunId>> mRunning;
  std::map<std::string, std::uint64_t> mEnds;
};

} // namespace by
