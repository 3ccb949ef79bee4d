#pragma once

#include "absl/status/statusor.h"

#include "by_cli/detail/CommandForm.h"

namespace by::detail {

/// Adds the options of "submit".
void
AddSubmitOptions(cxxopts::Options& aOptions);

/// Builds "submit" from its options.
absl::StatusOr<CommandBody>
ParseSubmit(const ParsedLine& aLine);

/// Adds the options of "plan".
void
AddPlanOptions(cxxopts::Options& aOptions);

/// Builds "plan" from its options or its file.
absl::StatusOr<CommandBody>
ParsePlan(const ParsedLine& aLine);

} // namespace by::detail
