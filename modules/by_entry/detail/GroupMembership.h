#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/GroupJoined.h"

namespace by::detail {

/// Sends a join request when the group membership is due for renewal.
void
RenewMembership(EntryState& aState, Time aNow, Effects& aOut);

/// Handles the group's answer, which says whether this node is elected to claim the cell.
void
HandleGroupJoined(EntryState& aState, const GroupJoined& aEvent, Time aNow, Effects& aOut);

} // namespace by::detail
