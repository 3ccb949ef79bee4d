#pragma once

/// Module by_entry
///
/// Purpose: the decisions of an entry node: which queue a request belongs to, who owns the cell,
/// when to claim it, and when the node may stop.
/// Dependencies: by_core, by_schema, by_cell.

#include "by_entry/EntryState.h"
#include "by_entry/EventOf.h"
#include "by_entry/StepEntry.h"
