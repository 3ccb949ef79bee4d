#pragma once

#include "by_core/Time.h"

namespace by {

/// Reads the machine's clock.
/// @returns milliseconds since 1970; never goes back while the process lives.
Time
MachineNow();

} // namespace by
