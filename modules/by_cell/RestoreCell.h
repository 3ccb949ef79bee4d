#pragma once

#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/KeyedRecord.h"

namespace by {

/// Builds the owner's state from the records that the store holds of the cell.
/// @param aEmpty the state with settings, name, epoch and configuration set.
/// @param aRecords the newest record of each key, in any order.
/// @returns the restored state; the effects hold log lines and orders that follow from it.
CellState
RestoreCell(CellState aEmpty, const std::vector<KeyedRecord>& aRecords, Time aNow, Effects& aOut);

} // namespace by
