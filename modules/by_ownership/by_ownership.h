#pragma once

/// Module by_ownership
///
/// Purpose: decides which racks this node claims and on which VMs it may place tasks.
/// Dependencies: by_core, by_schema, by_log_state, by_membership.

#include "by_ownership/Authority.h"
#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipActions.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/StepOwnership.h"
