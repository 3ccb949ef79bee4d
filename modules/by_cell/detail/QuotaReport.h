#pragma once

#include <set>

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// Logs which teams have begun or ceased to have steps that wait for their quota.
/// @param aWaiting the teams with steps that can be placed.
void
ReportQuotas(PlacementPass& aPass, const std::set<TeamId>& aWaiting);

} // namespace by::detail
