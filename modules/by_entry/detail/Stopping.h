#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/StopRequested.h"

namespace by::detail {

/// Begins a planned stop.
void
BeginStop(EntryState& aState, const StopRequested& aEvent, Time aNow, Effects& aOut);

/// Hands the cell over once nothing waits for the store, and ends the process once no caller waits.
void
ContinueStop(EntryState& aState, Time aNow, Effects& aOut);

/// Says whether the node should get new connections, where that changed.
void
PublishReadiness(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
