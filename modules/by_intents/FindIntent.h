#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_intents/FoldedIntent.h"
#include "by_intents/IntentTable.h"
#include "by_schema/IntentStatus.h"

namespace by {

/// @returns the plan or intent with this id, or null.
const FoldedIntent*
FindIntent(const IntentTable& aTable, const IntentId& aIntent);

/// Builds the status of an intent that operators see.
/// @param aWithTasks whether to include the status of each task.
IntentStatus
StatusOf(const FoldedIntent& aIntent, bool aWithTasks);

/// @param aTeam the team to list; empty for all teams.
/// @returns the statuses of the intents, without tasks, ordered by id.
std::vector<IntentStatus>
ListIntentStatuses(const IntentTable& aTable, const TeamId& aTeam);

} // namespace by
