#pragma once

/// Module by_entry
///
/// Purpose: the decisions of an entry node: which queue a request belongs to, who owns the cell,
/// when to claim it, which nodes relay the owner's orders to workers, and when the node may stop.
/// Dependencies: by_core, by_schema, by_membership, by_cell.

#include "by_entry/ConfigSample.h"
#include "by_entry/EntryState.h"
#include "by_entry/EventOf.h"
#include "by_entry/SampleConfig.h"
#include "by_entry/StepEntry.h"
#include "by_entry/TeamSample.h"
