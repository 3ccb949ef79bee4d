#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_core/Time.h"

namespace by {

/// Calls that were refused because of their key since the last report.
struct KeyRefusals
{
  /// Calls with a missing or unknown key.
  std::uint64_t mUnknown{ 0 };
  /// Calls that came while the configuration was not confirmed.
  std::uint64_t mUnconfirmed{ 0 };
  /// The path of the last of them.
  std::string mLastPath;
  /// When the next report is due.
  Time mNextReport{};

  friend bool operator==(const KeyRefusals&, const KeyRefusals&) = default;
  friend auto operator<=>(const KeyRefusals&, const KeyRefusals&) = default;
};

} // namespace by
