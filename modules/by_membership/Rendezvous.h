#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "by_core/Identifier.h"

namespace by {

/// Computes a node's weight for a key: a 64-bit hash that is the same in every process and build.
std::uint64_t
RendezvousWeight(const NodeId& aNode, const std::string& aKey);

/// Selects the node with the highest weight for a key. Few keys move when a node joins or leaves.
/// @returns the node, or an empty name if there are no nodes.
NodeId
RendezvousOwner(const std::vector<NodeId>& aNodes, const std::string& aKey);

/// Counts the nodes with a higher weight for a key than a given node.
/// @returns the rank; zero for the node that RendezvousOwner() selects.
std::size_t
RendezvousRank(const std::vector<NodeId>& aNodes, const std::string& aKey, const NodeId& aNode);

} // namespace by
