#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "by_core/Identifier.h"

namespace by::detail {

/// Writes a traffic thread's index into the first two digits of a drawn name, so that the answer
/// finds its way back to that thread without a table that threads share.
std::string
NameForLane(std::string aDrawn, std::size_t aLane);

/// @returns the index in a name by NameForLane, or nothing for any other name.
std::optional<std::size_t>
LaneOf(const RequestId& aRequest);

/// @returns the call's number; the remainder by the number of threads is the thread's index.
inline std::uint64_t
CallForLane(std::uint64_t aCount, std::size_t aLane, std::size_t aLanes)
{
  return aCount * aLanes + aLane;
}

/// @returns the index of the thread that made the call.
inline std::size_t
LaneOf(std::uint64_t aCall, std::size_t aLanes)
{
  return aCall % aLanes;
}

} // namespace by::detail
