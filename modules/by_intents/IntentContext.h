#pragma once

#include <cstdint>
#include <vector>

#include "by_core/Identifier.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/RackOwner.h"
#include "by_schema/VmDescription.h"

namespace by {

/// The input of the intent controller from the rest of the node. A null pointer stands for an empty
/// list.
struct IntentContext
{
  /// The node that runs the controller.
  NodeId mSelf;
  /// The live nodes that share the controller's work, including this one.
  std::vector<NodeId> mLive;
  /// The VMs in the platform's list. New tasks go to live backend servers only.
  const std::vector<VmDescription>* mVms{ nullptr };
  /// Changes with the VM list. Zero recomputes the racks' capacity in each step.
  std::uint64_t mVmsVersion{ 0 };
  /// The owners of racks. A rack without a live owner gets no new assignments.
  const std::vector<RackOwner>* mOwners{ nullptr };
  /// The active configuration.
  const ConfigDocument* mConfig{ nullptr };
  /// Whether the log was read recently; otherwise nothing is proposed.
  bool mLogFresh{ false };
};

} // namespace by
