#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/CellAppended.h"

namespace by {

/// Takes note of how an append ended: answers callers, orders runs and acknowledges ends that
/// waited for it, or keeps the batch for another try.
void
HandleAppended(CellState& aState, const CellAppended& aEvent, Time aNow, Effects& aOut);

/// Appends what changed, unless an append is on its way.
void
FlushRecords(CellState& aState, Time aNow, Effects& aOut);

/// Answers callers whose records can't be stored soon: refused where nothing of theirs was sent,
/// uncertain where it may yet be stored.
void
AnswerStalledCallers(CellState& aState, Time aNow, Effects& aOut);

/// @returns whether records or runs wait for the store.
bool
HasUnstored(const CellState& aState);

} // namespace by
