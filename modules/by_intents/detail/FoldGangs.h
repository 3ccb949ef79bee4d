#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/GangDecision.h"

namespace by::detail {

/// Starts a gang whose tasks are all reserved, or abandons its open round. The first valid decision
/// for a round is final.
/// @returns whether the table changed.
bool
FoldGangDecision(IntentTable& aTable, const GangDecision& aDecision, Time aAt);

/// Ends the live generations of an open round, of which nothing was started.
void
AbandonRound(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

/// Allows the next round for all tasks of a broken gang once none of them is live.
void
ResetBrokenGang(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

} // namespace by::detail
