#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/WorkerReport.h"

namespace by::detail {

/// Takes note of a worker's ends, and settles the runs that it lists or no longer lists.
void
ApplyReport(CellState& aState,
            WorkerRow& aWorker,
            const WorkerReport& aReport,
            Time aNow,
            Effects& aOut);

} // namespace by::detail
