#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/OwnerLeaving.h"

namespace by::detail {

/// Hands the cell of this owner over to a member with far more processor time, and withdraws a
/// handover that the successor does not take up in time. The owner stays active until it sees the
/// successor's claim.
void
ContinueHandover(EntryState& aState, Time aNow, Effects& aOut);

/// Handles the announcement of the owner that it stops, that it hands the cell over, or, if it
/// names itself as the successor, that it withdraws the handover.
void
HandleOwnerLeaving(EntryState& aState, const OwnerLeaving& aLeaving, Time aNow, Effects& aOut);

/// Treats the owner as leaving if its successor has not claimed the cell in time.
void
ExpireHandover(EntryState& aState, Time aNow, Effects& aOut);

/// Tells a member that this owner leaves and that any node may claim the cell.
void
SendLeaving(const EntryState& aState, const std::string& aNode, Effects& aOut);

/// Tells all members that this owner leaves.
/// @param aSuccessor the node to hand the cell to, this node to withdraw a handover, or empty if
/// any node may claim the cell.
void
AnnounceLeaving(const EntryState& aState, const std::string& aSuccessor, Effects& aOut);

} // namespace by::detail
