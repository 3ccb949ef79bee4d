#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_core/Time.h"

namespace by {

/// The end of a run, which may be acknowledged to its worker once it is stored.
struct PendingEnd
{
  std::string mWorker;
  /// Start time of the worker's process that reported it; the next one numbers its ends from 1
  /// again.
  Time mProcessStart{};
  std::uint64_t mNumber{ 0 };

  friend bool operator==(const PendingEnd&, const PendingEnd&) = default;
  friend auto operator<=>(const PendingEnd&, const PendingEnd&) = default;
};

} // namespace by
