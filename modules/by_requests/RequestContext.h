#pragma once

#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

class NodeSettings;
struct LogState;
struct Membership;
struct Ownership;
struct Scheduler;
struct SchedulingPolicy;

/// The parts of the node's state that decisions on requests use. The pointers are never null.
struct RequestContext
{
  /// The id of this node.
  NodeId mSelf;
  /// The incarnation of this process.
  std::uint64_t mIncarnation{ 0 };
  /// The node's settings.
  const NodeSettings* mSettings{ nullptr };
  /// Whether this node accepts new requests.
  bool mReady{ false };
  /// Whether this node is stopping. It then starts no tasks on its own VMs.
  bool mDraining{ false };
  /// Whether the log was read recently and all of it was applied.
  bool mLogFresh{ false };
  /// The state folded from the log.
  const LogState* mLogState{ nullptr };
  /// The other entry nodes and the VMs.
  const Membership* mMembership{ nullptr };
  /// The leases of this node.
  const Ownership* mOwnership{ nullptr };
  /// The scheduler that requests are submitted to.
  Scheduler* mScheduler{ nullptr };
  /// The scheduler's policy.
  const SchedulingPolicy* mPolicy{ nullptr };
};

} // namespace by
