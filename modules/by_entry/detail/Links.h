#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/FromMember.h"
#include "by_schema/FromOwner.h"
#include "by_schema/LinkChanged.h"
#include "by_schema/MemberChanged.h"

namespace by::detail {

/// Sends a message to the owner over the current link; the message is lost with that link.
void
EmitToOwner(const EntryState& aState, LinkMessage aMessage, Effects& aOut);

/// Sends a message to a member over its current link; the message is lost with that link. Does
/// nothing if the node has no link.
void
EmitToMember(const EntryState& aState,
             const std::string& aNode,
             LinkMessage aMessage,
             Effects& aOut);

/// Records a newer claim as the owner's and opens a link to the owner, unless that is this node.
void
FollowOwner(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut);

/// Reopens the link to the owner.
void
Reconnect(EntryState& aState, Time aNow, Effects& aOut);

/// Handles the link to the owner going up or down.
void
HandleLinkChanged(EntryState& aState, const LinkChanged& aEvent, Time aNow, Effects& aOut);

/// Handles a message from the owner. One that came over an earlier link than the current one is
/// dropped: it may be the answer of another process, or to what was sent before.
void
HandleOwnerMessage(EntryState& aState, const FromOwner& aEvent, Time aNow, Effects& aOut);

/// Handles a message from a member; one that did not come over the member's current link is
/// dropped.
void
HandleMemberMessage(EntryState& aState, const FromMember& aEvent, Time aNow, Effects& aOut);

/// Handles a member connecting or disconnecting.
void
HandleMemberChanged(EntryState& aState, const MemberChanged& aEvent, Time aNow, Effects& aOut);

/// Notifies members as soon as this node, as the owner, loses or regains the store, becomes
/// overloaded or has caught up, or changes what members forward of a team's submissions.
void
BroadcastOwnerState(EntryState& aState, Time aNow, Effects& aOut);

/// Sends a member the heartbeat that says whether this node is the owner, has the store and takes
/// new jobs, and of which teams it takes only a share.
void
SendMemberHeartbeat(const EntryState& aState, const std::string& aNode, Time aNow, Effects& aOut);

/// Sends that heartbeat to all members.
void
SendMemberHeartbeats(const EntryState& aState, Time aNow, Effects& aOut);

/// Sends heartbeats to the owner and reopens the link when the owner is not heard from.
void
MaintainLink(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
