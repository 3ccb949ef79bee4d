#pragma once

#include <cstddef>
#include <functional>

#include "by_schema/NodeEvent.h"

namespace by {

/// What the links to peers call.
struct WireHooks
{
  /// Takes an event to the control thread; may be called from any thread.
  std::function<void(NodeEvent)> mDeliver;
  /// Counts bytes that came in; may be empty.
  std::function<void(std::size_t)> mBytesIn;
  /// Counts bytes that went out; may be empty.
  std::function<void(std::size_t)> mBytesOut;
};

} // namespace by
