#include "by_wire/WireCodec.h"

#include "by_wire/BinaryCodec.h"
#include "by_wire/generated/wire_cereal.h"

namespace by {

std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat)
{
  return EncodeBinary(aHeartbeat);
}

absl::StatusOr<Heartbeat>
DecodeHeartbeat(std::string_view aBytes)
{
  return DecodeBinary<Heartbeat>(aBytes);
}

std::string
EncodeFrame(const Frame& aFrame)
{
  return EncodeBinary(aFrame);
}

absl::StatusOr<Frame>
DecodeFrame(std::string_view aBytes)
{
  return DecodeBinary<Frame>(aBytes);
}

} // namespace by
