#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/IntentCancel.h"
#include "by_schema/IntentConfirm.h"
#include "by_schema/Plan.h"

namespace by::detail {

/// Adds a plan that can be confirmed.
/// @returns whether the table changed.
bool
FoldPlan(IntentTable& aTable, const Plan& aPlan, Time aAt);

/// Confirms a plan that has not expired and whose base version is the team's current one.
/// @returns whether the table changed.
bool
FoldConfirm(IntentTable& aTable, const IntentConfirm& aConfirm, Time aAt);

/// Cancels a plan or an intent that has not ended.
/// @returns whether the table changed.
bool
FoldCancel(IntentTable& aTable, const IntentCancel& aCancel, Time aAt);

/// Removes plans and ended intents whose retention has passed, and the intents that ended first if
/// more than kMaxEndedIntents are kept.
/// @returns whether the table changed.
bool
PruneExpired(IntentTable& aTable, Time aAt);

} // namespace by::detail
