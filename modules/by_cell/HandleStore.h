#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/CellAppended.h"

namespace by {

/// Applies the outcome of an append: answers callers, starts runs and acknowledges ends that waited
/// for it, or keeps the batch for a retry.
void
HandleAppended(CellState& aState, const CellAppended& aEvent, Time aNow, Effects& aOut);

/// Sends the changed records to the store, or a failed batch again; at most one append is in
/// flight.
void
FlushRecords(CellState& aState, Time aNow, Effects& aOut);

/// Answers callers whose records can't be stored soon: refused where nothing was sent, uncertain
/// where the records may still be stored.
void
AnswerStalledCallers(CellState& aState, Time aNow, Effects& aOut);

/// @returns for how long the store has been lost; zero while it answers.
Time
StoreOutageAge(const CellState& aState, Time aNow);

/// @returns whether changes or an append still wait for the store.
bool
HasUnstored(const CellState& aState);

} // namespace by
