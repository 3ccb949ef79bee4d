#pragma once

#include <functional>
#include <string>

#include "by_entry/EventOf.h"
#include "by_schema/LogLine.h"

namespace by {

/// What an entry node gives a front end.
struct EntryHooks
{
  /// Posts an event to the control thread; may be called from any thread.
  std::function<void(EntryEvent)> mDeliver;
  /// Writes a line to the log; may be called from any thread.
  std::function<void(LogLine)> mLog;
  /// Counts a connection or a call that a limit refused, by its reason; called from the traffic
  /// thread.
  std::function<void(const char* aReason)> mCountRefusal;
  /// Writes the metrics in Prometheus' text format; may be called from any thread.
  std::function<std::string()> mMetricsText;
};

} // namespace by
