#pragma once

#include "by_cell/CellState.h"

namespace by::detail {

/// Finds out when a look at a worker is worth its price: when the first of its runs is expected to
/// have ended, a little later where the job can wait, so that one look shows several ends.
Time
NextLook(CellState& aState, const WorkerRow& aWorker, Time aNow);

} // namespace by::detail
