#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_schema/EntryEffect.h"
#include "by_schema/EntryEvent.h"

namespace by {

/// What a front end does for an entry node; all of it is called on the traffic thread.
struct EntryPorts
{
  /// Carries out an effect that concerns callers, the store, workers or advice.
  std::function<void(const EntryEffect&)> mPerform;
  /// Begins to follow the configuration and the claims of the cell.
  std::function<void()> mStart;
  /// Closes every socket.
  std::function<void()> mStop;
};

/// What an entry node gives a front end.
struct EntryHooks
{
  /// Posts an event to the control thread; may be called from any thread.
  std::function<void(EntryEvent)> mDeliver;
  /// Writes a line to the log; may be called from any thread.
  std::function<void(LogLine)> mLog;
  /// Writes the metrics in Prometheus' text format; may be called from any thread.
  std::function<std::string()> mMetricsText;
};

/// Opens a front end.
/// @param aTraffic runs all of its work.
using OpenPorts =
  std::function<absl::StatusOr<EntryPorts>(boost::asio::io_context& aTraffic, EntryHooks aHooks)>;

} // namespace by
