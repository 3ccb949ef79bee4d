#pragma once

/// Module by_runtime
///
/// Purpose: what every process needs from the machine: clocks and random identifiers.
/// Dependencies: by_core, absl random.

#include "by_runtime/BootClock.h"
#include "by_runtime/MachineClock.h"
#include "by_runtime/RandomIds.h"
#include "by_runtime/ThreadClock.h"
