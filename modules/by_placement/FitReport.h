#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace by {

/// Whether work can ever fit on one VM, and the missing resource if not.
struct FitReport
{
  /// Whether one VM offers enough of every resource.
  bool mFits{ false };
  /// The missing resource, by its name in the schema; empty if the work fits.
  std::string mResource{};
  /// The requested amount of that resource.
  std::int64_t mRequested{ 0 };
  /// The largest amount of it that a VM offers.
  std::int64_t mOffered{ 0 };

  friend bool operator==(const FitReport&, const FitReport&) = default;
  friend auto operator<=>(const FitReport&, const FitReport&) = default;
};

} // namespace by
