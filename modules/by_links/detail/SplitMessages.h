#pragma once

#include <cstddef>
#include <vector>

#include "absl/status/status.h"

#include "by_links/detail/ReceiveBuffer.h"
#include "by_schema/LinkMessage.h"

namespace by::detail {

/// The largest message is one job; a longer length is not one of ours.
inline constexpr std::size_t kMessageLimit = 16UL * 1024 * 1024;

/// Makes room for the next read: for the rest of a message that has begun, and for a usual read at
/// least.
void
MakeRoom(ReceiveBuffer& aBuffer);

/// Takes all whole messages out of a buffer.
/// @param aOut gets them, in their order.
/// @returns InvalidArgument where the bytes after these messages are not a message.
absl::Status
SplitMessages(ReceiveBuffer& aBuffer, std::vector<LinkMessage>& aOut);

} // namespace by::detail
