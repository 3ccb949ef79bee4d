#pragma once

#include "by_core/Time.h"

namespace by {

/// Reads a clock that goes on while the machine is suspended.
/// @returns milliseconds since 1970, as the time of day had it when the process started; never goes
///   back while the process lives.
Time
BootNow();

} // namespace by
