#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_schema/HttpCall.h"
#include "by_schema/ToolCommand.h"

namespace by {

/// @returns the file that a command reads, or an empty text.
std::string
FileOf(const ToolCommand& aCommand);

/// Builds the call that carries a command out.
/// @param aFile the content of FileOf().
/// @returns the call, or InvalidArgument with every fault of the file and its place, one a line.
absl::StatusOr<HttpCall>
BuildCall(const ToolCommand& aCommand, std::string_view aFile);

} // namespace by
