#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "by_schema/Frame.h"
#include "by_schema/Heartbeat.h"

namespace by {

/// Encodes a heartbeat as one datagram.
std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat);

/// Decodes one datagram.
/// @returns the heartbeat, or InvalidArgument where the bytes are not one.
absl::StatusOr<Heartbeat>
DecodeHeartbeat(std::string_view aBytes);

/// Encodes a frame without its length.
std::string
EncodeFrame(const Frame& aFrame);

/// Decodes one frame without its length.
/// @returns the frame, or InvalidArgument where the bytes are not one.
absl::StatusOr<Frame>
DecodeFrame(std::string_view aBytes);

} // namespace by
