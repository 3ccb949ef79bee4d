#pragma once

#include <cstdint>

#include "by_core/Identifier.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"
#include "by_sharing/TeamTable.h"

namespace by {

/// Takes shares and request quotas over from a configuration. What teams hold stays counted.
/// @param aAllotmentPermille the part of each request quota that this node may use; the parts of
/// all nodes add up to 1000 at most. Parts are rounded down.
void
SetTeamShares(TeamTable& aTable, const ConfigDocument& aConfig, std::int64_t aAllotmentPermille);

/// @returns the team's row; one with a share of 1 and no quota where it is not configured.
const TeamRow&
TeamOf(TeamTable& aTable, const TeamId& aTeam);

/// Counts room that a task of the team takes.
void
AddUsage(TeamTable& aTable, const TeamId& aTeam, WorkClass aClass, const Resources& aResources);

/// Counts room that a task of the team gives back.
void
SubtractUsage(TeamTable& aTable,
              const TeamId& aTeam,
              WorkClass aClass,
              const Resources& aResources);

/// @returns whether the team's request quota leaves room for a task; other work has its quota
/// kept where intents are folded.
bool
QuotaAllows(const TeamRow& aRow, WorkClass aClass, const Resources& aResources);

/// @returns whether the team's request quota could hold the task if it held nothing else.
bool
QuotaCanEverAllow(const TeamRow& aRow, WorkClass aClass, const Resources& aResources);

/// The largest part of any resource that the team holds, against its bought share.
/// @param aTotal what there is in all.
/// @returns parts per billion for each unit of share; teams with less go first.
std::int64_t
DominantShare(const TeamRow& aRow, const Resources& aTotal);

/// @returns the dominant share up to which every team has bought.
std::int64_t
EntitledShare(const TeamTable& aTable);

/// @returns the dominant share up to which a team's short and urgent work goes before the long
/// work of teams below their bought shares: half as much again.
std::int64_t
ShortWorkShareLimit(const TeamTable& aTable);

} // namespace by
