#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/WorkerReport.h"

namespace by::detail {

/// Applies a worker's report: processes new ends, confirms the reported runs, and resolves the runs
/// that the report lacks.
void
ApplyReport(CellState& aState,
            WorkerRow& aWorker,
            const WorkerReport& aReport,
            Time aNow,
            Effects& aOut);

} // namespace by::detail
