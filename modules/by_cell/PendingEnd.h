#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_core/Time.h"

namespace by {

/// An end that may be acknowledged to a worker once it is stored.
struct PendingEnd
{
  std::string mWorker;
  /// The life that listed it; the next one counts its ends from 1 again.
  Time mIncarnationSince{};
  std::uint64_t mNumber{ 0 };

  friend bool operator==(const PendingEnd&, const PendingEnd&) = default;
  friend auto operator<=>(const PendingEnd&, const PendingEnd&) = default;
};

} // namespace by
