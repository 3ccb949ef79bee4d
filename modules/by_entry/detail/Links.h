#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/FromMember.h"
#include "by_schema/FromOwner.h"
#include "by_schema/LinkChanged.h"
#include "by_schema/MemberChanged.h"

namespace by::detail {

/// Takes a newer claim for the owner and links to it.
void
FollowOwner(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut);

/// Opens the link to the owner anew.
void
Reconnect(EntryState& aState, Time aNow, Effects& aOut);

/// Takes note that the link to the owner is up or down.
void
HandleLinkChanged(EntryState& aState, const LinkChanged& aEvent, Time aNow, Effects& aOut);

/// Takes a message of the owner.
void
HandleOwnerMessage(EntryState& aState, const FromOwner& aEvent, Time aNow, Effects& aOut);

/// Takes a message of a member.
void
HandleMemberMessage(EntryState& aState, const FromMember& aEvent, Time aNow, Effects& aOut);

/// Takes note that a member linked or went.
void
HandleMemberChanged(EntryState& aState, const MemberChanged& aEvent, Time aNow, Effects& aOut);

/// Tells members at once where this node, as owner, lost or regained the store.
void
BroadcastStoreState(EntryState& aState, Time aNow, Effects& aOut);

/// Sends signs of life and opens a silent link anew.
void
MaintainLink(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
