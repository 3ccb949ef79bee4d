#pragma once

#include "by_core/Identifier.h"
#include "by_log_state/ApplyResult.h"

namespace by {

class LogEntry;
class RackOwner;
struct LogState;

/// Applies the next entry of the log. An entry that was applied before and an entry after a gap
/// change nothing. An entry whose record id was seen before only advances the offset and the log
/// time.
ApplyResult
ApplyEntry(LogState& aState, const LogEntry& aEntry);

/// Finds the owner of a rack.
/// @returns the row, whose node is empty if the rack was released; null before the first claim.
const RackOwner*
OwnerOf(const LogState& aState, const RackId& aRack);

} // namespace by
