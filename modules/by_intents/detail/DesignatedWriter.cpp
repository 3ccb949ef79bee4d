#include "by_intents/detail/DesignatedWriter.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "by_intents/detail/StableHash.h"

namespace by::detail {

NodeId
DesignatedWriter(const IntentId& aIntent, const std::vector<NodeId>& aLive)
{
  std::pair<std::uint64_t, NodeId> best;
  for (const auto& node : aLive) {
    best = std::max(best, std::pair(StableHash(aIntent.Text(), StableHash(node.Text())), node));
  }
  return best.second;
}

} // namespace by::detail
