#pragma once

#include <string_view>
#include <vector>

#include "by_entryd/detail/Refusal.h"
#include "by_schema/LogLine.h"

namespace by::detail {

/// @returns whether lines of an event may report calls that were refused.
bool
MayReportRefusals(std::string_view aEvent);

/// @returns the calls that a line reports as refused because of a key, a quota or a rate; empty
/// for other reasons. A line of limited volume also counts the calls that were not logged.
std::vector<Refusal>
RefusalsOf(const LogLine& aLine);

} // namespace by::detail
