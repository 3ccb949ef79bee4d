#pragma once

#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/KeyedRecord.h"

namespace by {

/// Builds the owner's state from all records that the store keeps of the cell.
/// @param aEmpty the state with settings, name, epoch and configuration set.
/// @param aRecords the newest record of each key, in any order.
CellState
RestoreCell(CellState aEmpty, const std::vector<KeyedRecord>& aRecords, Time aNow, Effects& aOut);

} // namespace by
