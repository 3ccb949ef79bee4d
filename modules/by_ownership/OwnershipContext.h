#pragma once

#include <cstdint>
#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

class ClusterSettings;
struct LogState;
struct Membership;

/// Inputs to the decisions on ownership, besides the ownership tables. The pointers are never null.
struct OwnershipContext
{
  /// The name of this node.
  NodeId mSelf;
  /// The incarnation of this process.
  std::uint64_t mIncarnation{ 0 };
  /// The state folded from the log.
  const LogState* mLogState{ nullptr };
  /// The other entry nodes and the list of VMs.
  const Membership* mMembership{ nullptr };
  /// The cluster settings in force.
  const ClusterSettings* mSettings{ nullptr };
  /// Whether this node is stopping.
  bool mDraining{ false };
  /// Whether this node has applied the log and read it recently; otherwise it claims no rack.
  bool mLogFresh{ false };
  /// When the last answered read of the log was sent; zero before the first. A rack claim by
  /// another node may have gone unnoticed since then.
  Time mLogReadAt{};
  /// This node's region; if empty, the region from the VM list is used.
  std::string mRegion{};
};

} // namespace by
