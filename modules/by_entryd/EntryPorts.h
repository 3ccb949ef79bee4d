#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "by_entryd/EntryHooks.h"
#include "by_schema/ConnectionLimits.h"
#include "by_schema/EntryEffect.h"

namespace by {

/// What a front end does for an entry node; all of it is called on the traffic thread.
struct EntryPorts
{
  /// Carries out an effect that concerns callers, the store, workers or advice.
  std::function<void(const EntryEffect&)> mPerform;
  /// Begins to follow the configuration and the claims of the cell.
  std::function<void()> mStart;
  /// Takes over the limits of callers' connections, as the configuration in force has them.
  std::function<void(const ConnectionLimits&)> mSetLimits;
  /// Takes no further calls, answers those that have arrived, and closes the connections of
  /// callers. The function is told once, when the last of them is closed.
  std::function<void(std::function<void()> aFinished)> mFinish;
  /// Closes every socket.
  std::function<void()> mStop;
};

/// Opens a front end.
/// @param aTraffic runs all of its work.
using OpenPorts =
  std::function<absl::StatusOr<EntryPorts>(boost::asio::io_context& aTraffic, EntryHooks aHooks)>;

} // namespace by
