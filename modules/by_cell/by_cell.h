#pragma once

/// Module by_cell
///
/// Purpose: the decisions of a cell's owner: which jobs it accepts, where their tasks run, in which
/// order records are stored and actions follow, and when a run has ended for certain.
/// Dependencies: by_core, by_schema, by_placement, by_sharing, by_jobs, by_queueing, by_crashes.

#include "by_cell/CellState.h"
#include "by_cell/HandleAdvice.h"
#include "by_cell/HandleOrders.h"
#include "by_cell/HandlePolls.h"
#include "by_cell/HandleRegistry.h"
#include "by_cell/HandleRequests.h"
#include "by_cell/HandleStore.h"
#include "by_cell/HandleWaves.h"
#include "by_cell/OrderNumber.h"
#include "by_cell/RestoreCell.h"
#include "by_cell/Work.h"
