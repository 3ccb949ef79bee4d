#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace by {

/// A reason for which a job waited, was refused or failed, and how often the logs name it.
struct TraceReason
{
  /// "waiting", "refused", "given up", "start dropped" or "run ended".
  std::string mKind;
  std::string mReason;
  std::size_t mCount{ 0 };

  friend bool operator==(const TraceReason&, const TraceReason&) = default;
  friend auto operator<=>(const TraceReason&, const TraceReason&) = default;
};

} // namespace by
