#pragma once

#include <compare>

#include "by_cell/PendingCaller.h"
#include "by_core/Time.h"
#include "by_schema/CellRequest.h"

namespace by {

/// A call about a job that the owner does not know. It is answered once the store has confirmed
/// that no other node had claimed the cell when the call arrived.
struct UnknownJobQuery
{
  PendingCaller mCaller;
  CellRequest mRequest;
  Time mArrived{};

  friend bool operator==(const UnknownJobQuery&, const UnknownJobQuery&) = default;
  friend auto operator<=>(const UnknownJobQuery&, const UnknownJobQuery&) = default;
};

} // namespace by
