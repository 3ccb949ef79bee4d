#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_schema/OutputFormat.h"

namespace by::detail {

/// Writes the teams that a node's metrics show, one a line, or as a JSON object. Usage and waiting
/// work are those that the node knows, which is all of them at the owner of the cell.
/// @param aTeam the only team to write; empty for all.
/// @returns the text, or NotFound if the metrics show no teams, or not this one.
absl::StatusOr<std::string>
FormatTeams(std::string_view aMetrics, const std::string& aTeam, OutputFormat aFormat);

} // namespace by::detail
