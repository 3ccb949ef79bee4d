#pragma once

#include <vector>

#include "by_schema/TeamPolicy.h"
#include "by_sharing/TeamTable.h"

namespace by {

/// Applies the weights and quotas of a cluster configuration to the teams of a whole cell. The
/// usage of the teams is kept; rows of other teams without usage are removed. Of several entries of
/// a team the first applies, and a weight below one counts as one.
void
SetTeamPolicies(TeamTable& aTable, const std::vector<TeamPolicy>& aTeams);

/// @returns the team's row, or nullptr if it is neither configured nor has had usage.
const TeamRow*
FindTeam(const TeamTable& aTable, const TeamId& aTeam);

/// @returns the weight of a team; 1 if it is not configured.
std::int64_t
WeightOf(const TeamTable& aTable, const TeamId& aTeam);

} // namespace by
