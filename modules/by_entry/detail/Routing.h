#pragma once

#include <string>
#include <string_view>

#include "by_schema/ClusterConfig.h"

namespace by::detail {

/// Finds the queue of a request: the host's queue with the longest matching path prefix.
/// @param aHost the host name; a port after a colon is ignored.
/// @returns the queue, or nullptr if none matches.
const QueuePolicy*
FindQueue(const ClusterConfig& aConfig, std::string_view aHost, std::string_view aPath);

/// @returns whether a text is a valid job name, which has 16 hexadecimal digits.
bool
IsJobName(std::string_view aText);

} // namespace by::detail
