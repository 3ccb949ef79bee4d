#pragma once

/// Module by_sharing
///
/// Purpose: the share, quota and usage of each team, and the resulting scheduling order.
/// Dependencies: by_core, by_schema, by_placement.

#include "by_sharing/EntitledShare.h"
#include "by_sharing/TeamPolicies.h"
#include "by_sharing/TeamQuota.h"
#include "by_sharing/TeamShares.h"
#include "by_sharing/TeamTable.h"
