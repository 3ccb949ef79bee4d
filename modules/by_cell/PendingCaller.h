#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace by {

/// A caller that waits for an answer, by the node that holds it.
struct PendingCaller
{
  std::string mNode;
  std::uint64_t mCall{ 0 };

  friend bool operator==(const PendingCaller&, const PendingCaller&) = default;
  friend auto operator<=>(const PendingCaller&, const PendingCaller&) = default;
};

} // namespace by
