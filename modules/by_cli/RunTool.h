#pragma once

#include <string>
#include <vector>

#include "by_cli/ToolEnvironment.h"
#include "by_schema/ToolOutput.h"

namespace by {

/// Carries a command line out: reads its file, calls the node, formats the result.
/// @param aArguments without the program's name.
ToolOutput
RunTool(const std::vector<std::string>& aArguments, const ToolEnvironment& aEnvironment);

} // namespace by
