#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/EntryEvent.h"

namespace by {

/// @returns the state of a process that has just started.
EntryState
MakeEntryState(const EntrySettings& aSettings);

/// Takes one event in: changes the state and says what is to be done.
/// @param aNow milliseconds since 1970 on a clock that never goes back.
Effects
StepEntry(EntryState& aState, const EntryEvent& aEvent, Time aNow);

/// @returns when a tick is due at the latest.
Time
NextTick(const EntryState& aState, Time aNow);

} // namespace by
