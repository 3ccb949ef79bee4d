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

/// @returns whether the intent's tasks are replicas that run indefinitely.
bool
IsService(const FoldedIntent& aIntent);

/// @returns whether the intent is in a final state.
bool
HasEnded(const FoldedIntent& aIntent);

/// @returns whether a gang's round is open: its tasks are assigned and the gang is not started.
bool
IsRoundOpen(const FoldedIntent& aIntent);

/// @returns whether a live task has to be stopped.
bool
MustStop(const FoldedIntent& aIntent, const IntentTaskStatus& aTask);

/// @returns the earliest time at which a task without a live generation may be assigned again.
Time
DueTime(const FoldedIntent& aIntent, const IntentTaskStatus& aTask);

/// Replaces a task's row and updates the indexes.
void
ReplaceTask(IntentTable& aTable, FoldedIntent& aIntent, IntentTaskStatus aTask);

/// Replaces an intent's progress and updates the indexes.
void
ReplaceProgress(IntentTable& aTable, FoldedIntent& aIntent, IntentProgress aProgress);

/// Adds all tasks of an intent to the indexes.
void
IndexIntent(IntentTable& aTable, FoldedIntent& aIntent);

/// Derives the state of an intent from its tasks after they changed.
/// @param aAt when the platform accepted the change.
void
UpdateState(IntentTable& aTable, FoldedIntent& aIntent, Time aAt);

} // namespace by::detail
