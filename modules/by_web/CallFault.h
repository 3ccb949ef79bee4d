#pragma once

#include <compare>

#include "by_web/Refusal.h"

namespace by {

/// Why bytes of a caller are not read as a call.
struct CallFault
{
  /// The status that says so: 400, 413 or 431.
  unsigned mStatus{ 0 };
  Refusal mReason{ Refusal::Malformed };

  friend bool operator==(const CallFault&, const CallFault&) = default;
  friend auto operator<=>(const CallFault&, const CallFault&) = default;
};

} // namespace by
