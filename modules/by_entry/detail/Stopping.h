#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/StopRequested.h"

namespace by::detail {

/// Begins a planned stop: announces it to members and leaves the group.
void
BeginStop(EntryState& aState, const StopRequested& aEvent, Time aNow, Effects& aOut);

/// Continues a planned stop: releases the cell if no other node claims it in time, and ends the
/// process once the drain time has passed and no caller waits, or at the deadline.
void
ContinueStop(EntryState& aState, Time aNow, Effects& aOut);

/// Publishes whether the node should receive new connections, if that has changed.
void
PublishReadiness(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
