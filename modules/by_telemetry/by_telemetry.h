#pragma once

/// Module by_telemetry
///
/// Purpose: logs with a fixed prefix for each part, and metrics.
/// Dependencies: by_json, log4cxx, prometheus-cpp.

#include "by_telemetry/CountNode.h"
#include "by_telemetry/LineSink.h"
#include "by_telemetry/Logger.h"
#include "by_telemetry/Metrics.h"
