#pragma once

#include <vector>

#include "by_core/Identifier.h"

namespace by::detail {

/// @returns the live node that writes for an intent, selected by rendezvous hashing.
NodeId
DesignatedWriter(const IntentId& aIntent, const std::vector<NodeId>& aLive);

} // namespace by::detail
