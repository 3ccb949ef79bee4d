#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "by_core/Time.h"
#include "by_schema/CellRequest.h"

namespace by {

/// A caller's request that is not answered yet.
struct OpenCall
{
  CellRequest mRequest;
  /// When it arrived.
  Time mArrived{};
  /// When the caller gives up.
  Time mDeadline{};
  /// The epoch of the owner that has it now; absent while it waits for one.
  std::optional<std::uint64_t> mForwardedTo;
  /// Whether any owner has had it, so that it may have been carried out.
  bool mWasForwarded{ false };

  friend bool operator==(const OpenCall&, const OpenCall&) = default;
  friend auto operator<=>(const OpenCall&, const OpenCall&) = default;
};

} // namespace by
