#pragma once

#include "by_schema/ToolOutput.h"
#include "by_schema/TraceCommand.h"

namespace by {

/// Traces a job through log files, which are read line by line; "-" stands for standard input.
/// @returns what was found, with exit code 1 if no line is of the job and 2 if a file can't be
/// read.
ToolOutput
RunTrace(const TraceCommand& aCommand);

} // namespace by
