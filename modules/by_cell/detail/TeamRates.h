#pragma once

#include <optional>
#include <string>
#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_cell/detail/PlacementPass.h"
#include "by_cell/detail/SubmissionCheck.h"
#include "by_schema/CellRequest.h"
#include "by_schema/JobStep.h"
#include "by_schema/TeamLoad.h"

namespace by::detail {

/// Notes that a step has waited for capacity of its pool, unless it only waits for tickets.
void
NoteCapacityMiss(PlacementPass& aPass,
                 const ReadyKey& aKey,
                 const JobStep& aStep,
                 const StepRow& aRow,
                 Time aLatestStart,
                 const std::string& aPool);

/// Decides about a submission of a job that the owner does not know. One beyond the rate of its
/// team is refused while the capacity of its pool or the owner itself is short, and accepted in
/// excess otherwise. Without teams nothing is metered.
SubmissionCheck
MeterSubmission(CellState& aState,
                const PendingCaller& aCaller,
                const CellRequest& aRequest,
                Time aNow,
                Effects& aOut);

/// Updates the shares of the teams' submissions that nodes forward, notes which teams are within
/// their rate again, and forgets those that submit nothing.
void
UpdateTeamRates(CellState& aState, Time aNow, Effects& aOut);

/// @returns the teams whose submissions nodes forward only in part.
std::vector<TeamLoad>
LimitedTeams(const CellState& aState);

/// @returns whether any team exceeds its rate by so much that refusing it relieves the owner.
bool
HasTeamFarOverRate(const CellState& aState);

/// Counts a refusal for the log.
/// @returns how many earlier refusals had no line, if this one gets a line.
std::optional<std::uint64_t>
CountForLog(LogLimit& aLog, Time aNow);

} // namespace by::detail
