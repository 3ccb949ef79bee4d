#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/Resources.h"
#include "by_schema/TaskAssignments.h"

namespace by::detail {

/// @returns the quota of a team's intents; zeros, which mean no limit, if the team has none.
Resources
QuotaOf(const ConfigDocument* aConfig, const TeamId& aTeam);

/// Applies assignments that are the next generation of their task and fit the team's quota. The
/// assignments of a gang are applied all together or not at all.
/// @returns whether the table changed.
bool
FoldAssignments(IntentTable& aTable,
                const TaskAssignments& aAssignments,
                const ConfigDocument* aConfig,
                Time aAt);

} // namespace by::detail
