#pragma once

/// Module by_trace
///
/// Purpose: explains what became of a job from the structured logs of any number of nodes.
/// Dependencies: by_core.

#include "by_trace/JobTrace.h"
#include "by_trace/LogRecord.h"
#include "by_trace/TraceReason.h"
#include "by_trace/TraceStage.h"
