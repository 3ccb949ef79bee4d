#pragma once

#include "by_cell/AppendBatch.h"
#include "by_cell/CellState.h"

namespace by::detail {

/// Adds the records of all changes since the last append to a batch: accepted jobs, progress of
/// tasks, outcomes, deleted keys and ordered maintenance, in this order.
void
AddChangedRecords(CellState& aState, AppendBatch& aBatch);

} // namespace by::detail
