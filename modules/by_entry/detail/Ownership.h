#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/CellLoaded.h"
#include "by_schema/ClaimRead.h"
#include "by_schema/ClaimWritten.h"
#include "by_schema/GroupJoined.h"

namespace by::detail {

/// Stays in the group when it is time to.
void
RenewMembership(EntryState& aState, Time aNow, Effects& aOut);

/// Takes the group's answer, which says whether this node should claim the cell if it has to.
void
HandleGroupJoined(EntryState& aState, const GroupJoined& aEvent, Time aNow, Effects& aOut);

/// Claims the cell where its owner is gone, leaving or without the store: as the node that the
/// group chose, or as any node that knows that the owner yields.
void
ClaimIfOwnerLost(EntryState& aState, Time aNow, Effects& aOut);

/// Takes the newest claim: follows its owner, or goes on claiming.
void
HandleClaimRead(EntryState& aState, const ClaimRead& aEvent, Time aNow, Effects& aOut);

/// Takes note of what became of a claim of this node.
void
HandleClaimWritten(EntryState& aState, const ClaimWritten& aEvent, Time aNow, Effects& aOut);

/// Becomes the owner with all that the store keeps of the cell.
void
HandleCellLoaded(EntryState& aState, const CellLoaded& aEvent, Time aNow, Effects& aOut);

/// Gives the cell up; what was not stored is dropped.
void
StepDown(EntryState& aState, const char* aReason, Time aNow, Effects& aOut);

/// Tries again what failed on the way to ownership.
void
RetryClaim(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
