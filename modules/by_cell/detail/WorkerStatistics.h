#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/RunEnd.h"

namespace by::detail {

/// Learns from a run that was done how quick its worker is.
void
UpdateSlowness(WorkerRow& aWorker, const RunRow& aRun, Time aNow);

/// Learns from how a run ended whether its worker fails what it is given, and sets it aside.
void
UpdateFailures(const CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut);

} // namespace by::detail
