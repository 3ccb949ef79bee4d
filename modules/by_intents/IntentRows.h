#pragma once

#include <vector>

#include "by_intents/IntentTable.h"
#include "by_schema/IntentRow.h"
#include "by_schema/TeamVersion.h"

namespace by {

/// @returns all intents with their tasks, ordered by id, as rows of a snapshot.
std::vector<IntentRow>
IntentRows(const IntentTable& aTable);

/// @returns the version of each team's intents, ordered by team.
std::vector<TeamVersion>
TeamVersions(const IntentTable& aTable);

/// Builds the table and its indexes from the rows of a snapshot.
IntentTable
IntentTableFrom(const std::vector<IntentRow>& aRows, const std::vector<TeamVersion>& aVersions);

} // namespace by
