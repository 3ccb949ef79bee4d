#pragma once

/// Module by_entryd
///
/// Purpose: the process around an entry node's decisions: the control thread, the traffic thread,
/// links between nodes, the log and the metrics. A front end brings the rest.
/// Dependencies: by_entry, by_links, by_telemetry, by_runtime, Boost.Asio.

#include "by_entryd/EntryDaemon.h"
#include "by_entryd/EntryHooks.h"
#include "by_entryd/EntryPorts.h"
#include "by_entryd/ReloadedSettings.h"
