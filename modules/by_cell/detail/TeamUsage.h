#pragma once

#include <cstdint>
#include <string>

#include "by_cell/CellState.h"
#include "by_cell/RunId.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns whether the configuration in force has teams.
bool
HasTeams(const CellState& aState);

/// Applies the weights and quotas of the configuration in force.
void
ApplyTeamPolicies(CellState& aState);

/// Charges a run that is added to a worker's row to the team of its job, and notes in the run's row
/// what to release. A run whose demand is not known is charged with all that its worker has left.
void
ChargeRun(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, RunRow& aRow);

/// Releases what a run was charged with.
void
ReleaseRun(CellState& aState, const RunRow& aRow);

/// @returns whether a team uses more than its quota, which may have been reduced.
bool
IsAboveQuota(const CellState& aState, const TeamId& aTeam);

/// Counts the further tasks of a step that the quota of its job's team allows, at most as many as
/// the step has.
std::uint32_t
CountWithinQuota(const CellState& aState, const JobRow& aJob, const JobStep& aStep);

/// @returns whether the quota of its job's team allows a step to start: all members of a gang, or
/// one task.
bool
QuotaAllowsStart(const CellState& aState, const JobRow& aJob, const JobStep& aStep);

/// @returns whether a gang, or a task of any other step, exceeds the team's quota by itself.
bool
ExceedsQuota(const CellState& aState, const TeamId& aTeam, const JobStep& aStep);

/// @returns the usage and the quota of a team for a log line; a quota of -1 is no limit.
std::string
FormatUsage(const CellState& aState, const TeamId& aTeam);

} // namespace by::detail
