#pragma once

#include <functional>
#include <string>

#include "by_schema/NodeEvent.h"
#include "by_web/Refusal.h"

namespace by {

/// What the HTTP server calls; all of it is called from traffic threads.
struct HttpHooks
{
  /// Posts an event to the control thread.
  std::function<void(NodeEvent)> mDeliver;
  /// Draws 32 random hexadecimal digits.
  std::function<std::string()> mDrawId;
  /// Writes the metrics in Prometheus' text format.
  std::function<std::string()> mMetricsText;
  /// Told of each call that was not read, and of each connection that a limit closed; may be empty.
  std::function<void(Refusal)> mRefused;
};

} // namespace by
