#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/IntentCancel.h"
#include "by_schema/IntentConfirm.h"
#include "by_schema/Plan.h"

namespace by::detail {

/// Keeps a plan that can be confirmed. @returns whether anything changed.
bool
FoldPlan(IntentTable& aTable, const Plan& aPlan, Time aAt);

/// Confirms a plan before its expiry, while its base version is the team's current one.
/// @returns whether anything changed.
bool
FoldConfirm(IntentTable& aTable, const IntentConfirm& aConfirm, Time aAt);

/// Cancels a plan or an intent that is not over. @returns whether anything changed.
bool
FoldCancel(IntentTable& aTable, const IntentCancel& aCancel, Time aAt);

/// Forgets plans and ended intents whose time is over. @returns whether anything changed.
bool
PruneExpired(IntentTable& aTable, Time aAt);

} // namespace by::detail
