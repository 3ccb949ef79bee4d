#pragma once

#include <compare>
#include <cstdint>

#include "by_web/MachineLimits.h"

namespace by {

/// How much room a server has for its connections.
struct WebCapacity
{
  /// Connections that are served at the same time.
  std::int64_t mConnections{ 1 };
  /// Connections beyond them that are told so before they are closed.
  std::int64_t mRefusals{ 0 };
  /// Bytes of calls that have not arrived completely, of all connections.
  std::int64_t mCallBytes{ 0 };

  friend bool operator==(const WebCapacity&, const WebCapacity&) = default;
  friend auto operator<=>(const WebCapacity&, const WebCapacity&) = default;
};

/// @returns the room for so many connections of callers that are part of the system, as in tests.
WebCapacity
CapacityOf(std::int64_t aConnections);

/// @returns the room for callers on a machine; a third of its descriptors is left to links, the
/// store and workers, and three quarters of its memory to everything but calls that arrive.
WebCapacity
CapacityFor(const MachineLimits& aMachine);

} // namespace by
