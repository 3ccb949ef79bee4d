#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "by_cli/ToolEnvironment.h"
#include "by_schema/ToolCommand.h"

namespace by {

/// Reads a command line.
/// @param aArguments without the program's name.
/// @returns the command, or InvalidArgument with one sentence.
absl::StatusOr<ToolCommand>
ParseArguments(const std::vector<std::string>& aArguments, const ToolEnvironment& aEnvironment);

/// Reads "ADDRESS:PORT".
/// @returns the endpoint, or InvalidArgument with one sentence.
absl::StatusOr<Endpoint>
ParseNode(const std::string& aText);

} // namespace by
