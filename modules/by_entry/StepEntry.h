#pragma once

#include <span>

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/EntryEvent.h"

namespace by {

/// Creates the state of a process that has just started.
/// @param aSettings the settings read at startup.
EntryState
MakeEntryState(const EntrySettings& aSettings);

/// Handles one event: updates the state and returns the effects to be carried out. An unexpected
/// error is logged and costs that event; it does not leave this function.
/// @param aNow milliseconds since 1970 on a clock that never goes back.
Effects
StepEntry(EntryState& aState, const EntryEvent& aEvent, Time aNow);

/// Handles several events as one step, with the effects of all in their order. The work that
/// follows an event, such as placing tasks, storing records and relaying orders, is done once for
/// all.
/// @param aNow as above, for all events.
Effects
StepEntry(EntryState& aState, std::span<const EntryEvent> aEvents, Time aNow);

/// @returns the time by which the next clock tick must be delivered.
Time
NextTick(const EntryState& aState, Time aNow);

} // namespace by
