#pragma once

#include <string>
#include <string_view>

#include "by_schema/ClusterConfig.h"

namespace by::detail {

/// Finds the queue that a caller means: the host's queue with the longest prefix of the path.
/// @returns the queue, or nullptr.
const QueuePolicy*
FindQueue(const ClusterConfig& aConfig, std::string_view aHost, std::string_view aPath);

/// @returns whether a text is the name of a job, 16 hexadecimal digits.
bool
IsJobName(std::string_view aText);

} // namespace by::detail
