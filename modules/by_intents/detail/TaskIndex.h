#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/IntentProgress.h"
#include "by_schema/IntentTaskStatus.h"

namespace by::detail {

/// @returns whether the intent's tasks start together.
bool
IsGang(const FoldedIntent& aIntent);

/// @returns whether the intent's tasks are replicas that run for ever.
bool
IsService(const FoldedIntent& aIntent);

/// @returns whether the intent came to its last state.
bool
HasEnded(const FoldedIntent& aIntent);

/// @returns whether a gang's round is open: tasks are given to racks and nothing is decided.
bool
IsRoundOpen(const FoldedIntent& aIntent);

/// @returns whether a live task has to end.
bool
MustStop(const FoldedIntent& aIntent, const IntentTaskStatus& aTask);

/// @returns when a task without a live generation may have its next one.
Time
DueTime(const FoldedIntent& aIntent, const IntentTaskStatus& aTask);

/// Puts a task's new row in place of the old one and keeps the indexes.
void
ReplaceTask(IntentTable& aTable, FoldedIntent& aIntent, IntentTaskStatus aTask);

/// Puts an intent's new progress in place of the old one and keeps the indexes.
void
ReplaceProgress(IntentTable& aTable, FoldedIntent& aIntent, IntentProgress aProgress);

/// Enters a whole intent into the indexes.
void
IndexIntent(IntentTable& aTable, FoldedIntent& aIntent);

/// Works out the state of an intent from its tasks after a change of them.
/// @param aAt when the platform took the change.
void
UpdateState(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

} // namespace by::detail
