#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "by_core/Time.h"

namespace by {

/// A node that sends advice queries to the external service; the service answers one query of a
/// node at a time.
struct AdviceProxyRow
{
  std::string mNode;
  /// The link to the node; zero for the owner itself.
  std::uint64_t mLink{ 0 };
  /// The deadline of each of its open queries, after which the query counts as lost.
  std::vector<Time> mOpenQueries{};

  friend bool operator==(const AdviceProxyRow&, const AdviceProxyRow&) = default;
  friend auto operator<=>(const AdviceProxyRow&, const AdviceProxyRow&) = default;
};

} // namespace by
