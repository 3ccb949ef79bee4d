#pragma once

#include "by_intents/IntentFoldContext.h"
#include "by_intents/IntentTable.h"
#include "by_schema/LogEntry.h"

namespace by {

/// Folds one log entry into the intent table: a plan, confirmation, cancellation, assignment,
/// report or gang decision. All checks are made here, in log order, so that a race has the same
/// winner on every node. Invalid parts are ignored.
/// @returns whether the table changed.
bool
ApplyIntentEntry(IntentTable& aTable, const LogEntry& aEntry, const IntentFoldContext& aContext);

} // namespace by
