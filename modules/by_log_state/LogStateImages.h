#pragma once

#include <cstdint>

#include "by_log_state/FoldLimits.h"
#include "by_log_state/LogState.h"

namespace by {

class LogStateImage;

/// Copies the complete folded state into rows.
LogStateImage
ImageOf(const LogState& aState);

/// Builds the folded state from rows.
/// @param aNextOffset the offset of the first entry that is not in the rows.
/// @param aLimits the limits to apply while folding further entries.
LogState
FromImage(const LogStateImage& aImage, std::uint64_t aNextOffset, FoldLimits aLimits = {});

/// Replaces the folded state with that of a peer.
/// @returns false without a change if this node's own state is as new or newer, or its
/// configuration is newer.
bool
AdoptImage(LogState& aState, const LogStateImage& aImage, std::uint64_t aNextOffset);

} // namespace by
