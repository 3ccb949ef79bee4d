#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace by {

/// A caller that waits for a reply: the node that holds its connection, and the call's number
/// there.
struct PendingCaller
{
  std::string mNode;
  std::uint64_t mCall{ 0 };

  friend bool operator==(const PendingCaller&, const PendingCaller&) = default;
  friend auto operator<=>(const PendingCaller&, const PendingCaller&) = default;
};

} // namespace by
