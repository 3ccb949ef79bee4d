#pragma once

/// Module by_entry
///
/// Purpose: what an entry node decides: which queue a caller means, who owns the cell, when to
/// claim it, and when the node may stop.
/// Dependencies: by_core, by_schema, by_jobs, by_cell.

#include "by_entry/EntryState.h"
#include "by_entry/EventOf.h"
#include "by_entry/StepEntry.h"
