#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/SettingsRead.h"

namespace by::detail {

/// Applies reloaded settings. The node name, incarnation and link address are kept because other
/// nodes identify this process by them. Unreadable settings are logged and ignored.
void
ApplySettings(EntryState& aState, const SettingsRead& aEvent, Effects& aOut);

} // namespace by::detail
