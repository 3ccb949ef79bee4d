#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace by {

/// A caller that waits for a reply: the node that holds its connection, the call's number there,
/// and the link by which that node forwarded the call. A reply leaves by this link or not at all,
/// since the node's next link may lead to another of its processes.
struct PendingCaller
{
  std::string mNode;
  std::uint64_t mCall{ 0 };
  /// Zero for a call of the owner's own.
  std::uint64_t mLink{ 0 };

  friend bool operator==(const PendingCaller&, const PendingCaller&) = default;
  friend auto operator<=>(const PendingCaller&, const PendingCaller&) = default;
};

} // namespace by
