#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/HeldRequest.h"
#include "by_schema/NodeStatus.h"
#include "by_schema/OwnedVm.h"
#include "by_schema/RackOwner.h"

namespace by {

/// Dump of one node's state.
class StateDump
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{};
    /// Identifies its process.
    std::uint64_t mIncarnation{ 0 };
    /// Whether it accepts new work.
    bool mReady{ false };
    /// Whether it is stopping.
    bool mDraining{ false };
    /// Log offset up to which it has applied the records.
    std::uint64_t mAppliedOffset{ 0 };
    /// Time since its last read of the log.
    Time mLogReadAge{};
    /// Version of the configuration in force.
    std::uint64_t mConfigVersion{ 0 };
    /// Status of the entry nodes.
    std::vector<NodeStatus> mNodes{};
    /// Owners of racks.
    std::vector<RackOwner> mOwners{};
    /// VMs in the racks that this node owns.
    std::vector<OwnedVm> mVms{};
    /// Requests that this node holds.
    std::vector<HeldRequest> mRequests{};
    /// Number of requests in its queue.
    std::int64_t mQueued{ 0 };
    /// Number of claims in its folded state.
    std::int64_t mClaims{ 0 };
    /// Number of intents in its folded state.
    std::int64_t mIntents{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  StateDump() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<StateDump> Create(Fields aFields) { return StateDump(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] StateDump WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies its process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] StateDump WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Whether it accepts new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] StateDump WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// Whether it is stopping.
  bool Draining() const { return mFields.mDraining; }
  /// @returns a copy of this value with another Draining.
  [[nodiscard]] StateDump WithDraining(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDraining = std::move(aValue);
    return copy;
  }

  /// Log offset up to which it has applied the records.
  std::uint64_t AppliedOffset() const { return mFields.mAppliedOffset; }
  /// @returns a copy of this value with another AppliedOffset.
  [[nodiscard]] StateDump WithAppliedOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppliedOffset = std::move(aValue);
    return copy;
  }

  /// Time since its last read of the log.
  Time LogReadAge() const { return mFields.mLogReadAge; }
  /// @returns a copy of this value with another LogReadAge.
  [[nodiscard]] StateDump WithLogReadAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogReadAge = std::move(aValue);
    return copy;
  }

  /// Version of the configuration in force.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns a copy of this value with another ConfigVersion.
  [[nodiscard]] StateDump WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// Status of the entry nodes.
  const std::vector<NodeStatus>& Nodes() const { return mFields.mNodes; }
  /// @returns a copy of this value with another Nodes.
  [[nodiscard]] StateDump WithNodes(std::vector<NodeStatus> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNodes = std::move(aValue);
    return copy;
  }

  /// Owners of racks.
  const std::vector<RackOwner>& Owners() const { return mFields.mOwners; }
  /// @returns a copy of this value with another Owners.
  [[nodiscard]] StateDump WithOwners(std::vector<RackOwner> aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwners = std::move(aValue);
    return copy;
  }

  /// VMs in the racks that this node owns.
  const std::vector<OwnedVm>& Vms() const { return mFields.mVms; }
  /// @returns a copy of this value with another Vms.
  [[nodiscard]] StateDump WithVms(std::vector<OwnedVm> aValue) const
  {
    auto copy = *this;
    copy.mFields.mVms = std::move(aValue);
    return copy;
  }

  /// Requests that this node holds.
  const std::vector<HeldRequest>& Requests() const { return mFields.mRequests; }
  /// @returns a copy of this value with another Requests.
  [[nodiscard]] StateDump WithRequests(std::vector<HeldRequest> aValue) const
  {
    auto copy = *this;
    copy.mFields.mRequests = std::move(aValue);
    return copy;
  }

  /// Number of requests in its queue.
  std::int64_t Queued() const { return mFields.mQueued; }
  /// @returns a copy of this value with another Queued.
  [[nodiscard]] StateDump WithQueued(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueued = std::move(aValue);
    return copy;
  }

  /// Number of claims in its folded state.
  std::int64_t Claims() const { return mFields.mClaims; }
  /// @returns a copy of this value with another Claims.
  [[nodiscard]] StateDump WithClaims(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mClaims = std::move(aValue);
    return copy;
  }

  /// Number of intents in its folded state.
  std::int64_t Intents() const { return mFields.mIntents; }
  /// @returns a copy of this value with another Intents.
  [[nodiscard]] StateDump WithIntents(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntents = std::move(aValue);
    return copy;
  }

  friend bool operator==(const StateDump&, const StateDump&) = default;
  friend auto operator<=>(const StateDump&, const StateDump&) = default;

private:
  explicit StateDump(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
