#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/GangDecision.h"

namespace by::detail {

/// Starts a gang whose tasks are all reserved, or gives its open round up. The first valid decision
/// for a round counts. @returns whether anything changed.
bool
FoldGangDecision(IntentTable& aTable, const GangDecision& aDecision, Time aAt);

/// Ends the live generations of an open round; nothing of it was started.
void
AbandonRound(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

/// Once nothing of a broken gang is live any more, lets all its tasks have the next round.
void
ResetBrokenGang(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

} // namespace by::detail
