#pragma once

#include "by_core/Findings.h"
#include "by_schema/NodeSettings.h"

namespace by {

/// Finds settings that contradict each other or that no node can run with.
/// @param aFindings takes every fault with the path of its key.
void
CheckSettings(const NodeSettings& aSettings, Findings& aFindings);

} // namespace by
