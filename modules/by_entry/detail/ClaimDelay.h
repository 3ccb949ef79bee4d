#pragma once

#include "by_core/Time.h"

namespace by {
struct EntryState;
} // namespace by

namespace by::detail {

/// @returns how long this node leaves the claim of a released cell to larger nodes. An elected node
/// does not wait if the owner has left, since a cell without an owner costs more than a small one.
Time
ShareDelay(const EntryState& aState);

} // namespace by::detail
