#pragma once

#include <cstdint>

#include "by_core/Identifier.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"
#include "by_sharing/TeamTable.h"

namespace by {

/// Applies the shares and request quotas of a configuration. The usage of the teams is kept.
/// @param aAllotmentPermille the fraction of each request quota that this node may use, in
/// thousandths; the fractions of all nodes add up to at most 1000. Amounts are rounded down.
void
SetTeamShares(TeamTable& aTable, const ConfigDocument& aConfig, std::int64_t aAllotmentPermille);

/// @returns the team's row. For a team that is not configured, a row with a share of 1 and no quota
/// is added.
const TeamRow&
TeamOf(TeamTable& aTable, const TeamId& aTeam);

/// Adds the resources of a placed task to the team's usage.
void
AddUsage(TeamTable& aTable, const TeamId& aTeam, WorkClass aClass, const Resources& aResources);

/// Subtracts the resources of an ended task from the team's usage.
void
SubtractUsage(TeamTable& aTable,
              const TeamId& aTeam,
              WorkClass aClass,
              const Resources& aResources);

/// @returns whether the team's request quota allows another task. Quotas of other work are enforced
/// where intents are folded.
bool
QuotaAllows(const TeamRow& aRow, WorkClass aClass, const Resources& aResources);

/// @returns whether the team's request quota would allow the task if no other task of the team ran.
bool
QuotaCanEverAllow(const TeamRow& aRow, WorkClass aClass, const Resources& aResources);

/// Computes the largest fraction of any resource that the team uses, divided by its share.
/// @param aTotal the total capacity.
/// @returns billionths for each unit of share; teams with less are scheduled first.
std::int64_t
DominantShare(const TeamRow& aRow, const Resources& aTotal);

/// @returns the dominant share that every team is entitled to, in billionths for each unit of
/// share.
std::int64_t
EntitledShare(const TeamTable& aTable);

/// @returns the dominant share up to which urgent and short work of a team is scheduled before long
/// work of teams below their entitled share: 1.5 times the entitled share.
std::int64_t
ShortWorkShareLimit(const TeamTable& aTable);

} // namespace by
