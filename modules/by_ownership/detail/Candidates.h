#pragma once

#include <string>
#include <vector>

#include "absl/container/btree_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

struct OwnershipContext;

namespace detail {

/// The entry nodes that may own racks, as seen by this node.
struct Candidates
{
  /// All candidates, including this node if it may own racks.
  std::vector<NodeId> mAll;
  /// The same candidates, by region.
  absl::btree_map<std::string, std::vector<NodeId>> mByRegion;
};

/// Lists the nodes that are live, ready, have read the log recently and lag by at most
/// kMaxCandidateLag entries.
/// @param aSteadyFor the time that a node must have been steady; zero for no minimum.
Candidates
FindCandidates(const OwnershipContext& aContext, Time aSteadyFor, Time aNow);

/// Selects the node that should own a rack by rendezvous hashing. Nodes of the rack's region are
/// preferred.
/// @returns the node, or an empty name if there are no candidates.
NodeId
ChooseOwner(const Candidates& aCandidates, const OwnershipContext& aContext, const RackId& aRack);

} // namespace detail
} // namespace by
