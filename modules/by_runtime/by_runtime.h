#pragma once

/// Module by_runtime
///
/// Purpose: what every process needs from the machine: clocks, random identifiers, and
/// threads that outlive an error of one handler.
/// Dependencies: by_core, absl random, Asio.

#include "by_runtime/BootClock.h"
#include "by_runtime/GuardedRun.h"
#include "by_runtime/MachineClock.h"
#include "by_runtime/RandomIds.h"
#include "by_runtime/ThreadClock.h"
