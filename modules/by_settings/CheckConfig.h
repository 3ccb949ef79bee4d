#pragma once

#include "by_core/Findings.h"
#include "by_schema/ConfigDocument.h"

namespace by {

/// Finds parts of a configuration that contradict each other or that name nothing known.
/// @param aFindings takes every fault with the path of its key.
void
CheckConfig(const ConfigDocument& aConfig, Findings& aFindings);

} // namespace by
