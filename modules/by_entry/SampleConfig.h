#pragma once

#include "by_core/Time.h"
#include "by_entry/ConfigSample.h"
#include "by_entry/EntryState.h"

namespace by {

/// Describes the configuration in force and its teams for metrics. Takes time in proportion to the
/// runs of the cell where the configuration has teams.
ConfigSample
SampleConfig(const EntryState& aState, Time aNow);

} // namespace by
