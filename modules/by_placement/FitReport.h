#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace by {

/// Whether work can ever fit on one VM, and if not, why.
struct FitReport
{
  /// Whether one VM offers enough of everything.
  bool mFits{ false };
  /// The resource that falls short, as the schema spells it; empty where it fits.
  std::string mResource{};
  /// What is wanted of it.
  std::int64_t mRequested{ 0 };
  /// The most that a VM offers of it.
  std::int64_t mOffered{ 0 };

  friend bool operator==(const FitReport&, const FitReport&) = default;
  friend auto operator<=>(const FitReport&, const FitReport&) = default;
};

} // namespace by
