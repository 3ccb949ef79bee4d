#pragma once

/// Module by_cell
///
/// Purpose: what the owner of a cell decides: which jobs it takes, where their tasks run, what is
/// stored before what, and when a run is over for certain.
/// Dependencies: by_core, by_schema, by_placement, by_jobs.

#include "by_cell/CellState.h"
#include "by_cell/HandleAdvice.h"
#include "by_cell/HandleOrders.h"
#include "by_cell/HandlePolls.h"
#include "by_cell/HandleRegistry.h"
#include "by_cell/HandleRequests.h"
#include "by_cell/HandleStore.h"
#include "by_cell/HandleWaves.h"
#include "by_cell/RestoreCell.h"
#include "by_cell/Work.h"
