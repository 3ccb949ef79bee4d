#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "by_core/Time.h"
#include "by_schema/CellRequest.h"

namespace by {

/// A caller's request that has not been answered yet.
struct OpenCall
{
  CellRequest mRequest;
  /// When the request arrived.
  Time mArrived{};
  /// When the caller stops waiting; Never() if it sets no limit.
  Time mDeadline{};
  /// The epoch of the owner that the request was forwarded to; empty while it waits for an owner.
  std::optional<std::uint64_t> mForwardedTo;
  /// How many times the request was forwarded to a node that may have carried it out.
  std::uint32_t mPossibleRuns{ 0 };

  friend bool operator==(const OpenCall&, const OpenCall&) = default;
  friend auto operator<=>(const OpenCall&, const OpenCall&) = default;
};

} // namespace by
