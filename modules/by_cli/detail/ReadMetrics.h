#pragma once

#include <string_view>
#include <vector>

#include "by_cli/detail/MetricSample.h"

namespace by::detail {

/// Reads metrics in Prometheus' text format. Comments and lines that can't be read are left out.
/// @param aPrefix metrics whose names begin otherwise are left out.
std::vector<MetricSample>
ReadMetrics(std::string_view aText, std::string_view aPrefix);

} // namespace by::detail
