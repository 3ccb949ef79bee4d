#pragma once

/// Module by_daemon
///
/// Purpose: runs one entry node: the control thread with its step, the traffic threads with their
/// sockets, and the values that pass between them.
/// Dependencies: by_node, by_wire, by_platform, by_backend, by_http, by_telemetry, Boost.Asio.

#include "by_daemon/Daemon.h"
