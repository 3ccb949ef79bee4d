#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "by_web/WebRequest.h"

namespace by {

/// Splits a target "/path?key=value&key=value" into the path and the query of a call.
void
ReadTarget(std::string_view aTarget, WebRequest& aIncoming);

/// Reads a number from the query.
/// @returns the number, or the default where the key is missing or not a number.
std::int64_t
QueryNumber(const WebRequest& aIncoming, const std::string& aKey, std::int64_t aDefault);

} // namespace by
