#pragma once

#include <string_view>

#include "absl/status/status.h"

#include "by_schema/HttpResult.h"
#include "by_schema/ToolCommand.h"
#include "by_schema/ToolOutput.h"

namespace by {

/// Writes what became of a call.
ToolOutput
FormatResult(const ToolCommand& aCommand, const HttpResult& aResult);

/// Writes a fault of the command line or of a file: one line for each line of the status.
ToolOutput
FormatFault(const absl::Status& aStatus);

} // namespace by
