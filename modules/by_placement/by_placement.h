#pragma once

/// Module by_placement
///
/// Purpose: the table of VMs that tasks may be placed on, and the choice of a VM for a task.
/// Dependencies: by_core, by_schema, absl.

#include "by_placement/CanEverFit.h"
#include "by_placement/FindVm.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"
#include "by_placement/VmHealth.h"
#include "by_placement/VmTable.h"
