#pragma once

#include <cstddef>
#include <string>

namespace by::detail {

/// Bytes of a connection that were received and not decoded yet.
struct ReceiveBuffer
{
  /// Storage; its size is the room for bytes, received or not.
  std::string mBytes;
  /// The undecoded bytes are those from mBegin to before mEnd.
  std::size_t mBegin{ 0 };
  std::size_t mEnd{ 0 };
};

} // namespace by::detail
