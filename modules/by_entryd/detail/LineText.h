#pragma once

#include <string>

#include "by_core/Time.h"
#include "by_schema/LogLine.h"

namespace by::detail {

/// Appends a log line as an object of JSON.
void
AppendLine(std::string& aOut, Time aAt, const std::string& aNode, const LogLine& aLine);

} // namespace by::detail
