#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/SettingsRead.h"

namespace by::detail {

/// Puts settings in force that were read again. What names the process stays: its node, its
/// incarnation and its link address are known to others.
void
ApplySettings(EntryState& aState, const SettingsRead& aEvent, Effects& aOut);

} // namespace by::detail
