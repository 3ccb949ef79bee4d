#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/CellLoaded.h"
#include "by_schema/ClaimRead.h"
#include "by_schema/ClaimWritten.h"

namespace by::detail {

/// Claims the cell if its owner is lost. The elected node also claims when no other node is known
/// as the owner, when it cannot reach the owner or when the owner is inactive; other nodes claim
/// only when the owner is known to be gone, leaving or without the store.
void
ClaimIfOwnerLost(EntryState& aState, Time aNow, Effects& aOut);

/// Handles a claim that a peer has read. A node that reaches the store reads claims
/// itself; any other one follows the newer owner, until the store says otherwise.
void
TakePeerClaim(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut);

/// Handles the newest claim: follows its owner and steps down for it, or continues this node's own
/// claim.
void
HandleClaimRead(EntryState& aState, const ClaimRead& aEvent, Time aNow, Effects& aOut);

/// Handles the outcome of writing this node's claim.
void
HandleClaimWritten(EntryState& aState, const ClaimWritten& aEvent, Time aNow, Effects& aOut);

/// Becomes the owner with the stored records of the cell.
void
HandleCellLoaded(EntryState& aState, const CellLoaded& aEvent, Time aNow, Effects& aOut);

/// Reads the claim if the store has not confirmed this owner for a while. Only elected owners are
/// confirmed by the group, and an owner without changes to store appends nothing.
void
ConfirmOwnership(EntryState& aState, Time aNow, Effects& aOut);

/// Stops owning or claiming the cell; state that was not stored is discarded.
/// @param aReason the reason for the log line.
void
StepDown(EntryState& aState, const char* aReason, Time aNow, Effects& aOut);

/// Retries a failed read of the claim or of the cell when its delay has passed.
void
RetryClaim(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
