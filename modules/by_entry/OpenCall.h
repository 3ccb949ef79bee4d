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
  /// Whether it was handed to the owner, under which epoch.
  std::optional<std::uint64_t> mHandedTo;
  Time mHandedAt{};

  friend bool operator==(const OpenCall&, const OpenCall&) = default;
  friend auto operator<=>(const OpenCall&, const OpenCall&) = default;
};

} // namespace by
