#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Status of one entry node, as operators see it.
class NodeStatus
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{};
    /// Identifies its process.
    std::uint64_t mIncarnation{ 0 };
    /// Availability zone.
    ZoneId mZone{};
    /// One of alive, suspected, leaving and self.
    std::string mStatus{};
    /// Whether it accepts new work.
    bool mReady{ false };
    /// Log offset up to which it has applied the records.
    std::uint64_t mAppliedOffset{ 0 };
    /// Version of the configuration in force on it.
    std::uint64_t mConfigVersion{ 0 };
    /// Number of racks that it owns.
    std::int64_t mRacks{ 0 };
    /// Time since its last heartbeat.
    Time mHeartbeatAge{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  NodeStatus() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<NodeStatus> Create(Fields aFields)
  {
    return NodeStatus(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] NodeStatus WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies its process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] NodeStatus WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] NodeStatus WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// One of alive, suspected, leaving and self.
  const std::string& Status() const { return mFields.mStatus; }
  /// @returns a copy of this value with another Status.
  [[nodiscard]] NodeStatus WithStatus(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatus = std::move(aValue);
    return copy;
  }

  /// Whether it accepts new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] NodeStatus WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// Log offset up to which it has applied the records.
  std::uint64_t AppliedOffset() const { return mFields.mAppliedOffset; }
  /// @returns a copy of this value with another AppliedOffset.
  [[nodiscard]] NodeStatus WithAppliedOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppliedOffset = std::move(aValue);
    return copy;
  }

  /// Version of the configuration in force on it.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns a copy of this value with another ConfigVersion.
  [[nodiscard]] NodeStatus WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// Number of racks that it owns.
  std::int64_t Racks() const { return mFields.mRacks; }
  /// @returns a copy of this value with another Racks.
  [[nodiscard]] NodeStatus WithRacks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRacks = std::move(aValue);
    return copy;
  }

  /// Time since its last heartbeat.
  Time HeartbeatAge() const { return mFields.mHeartbeatAge; }
  /// @returns a copy of this value with another HeartbeatAge.
  [[nodiscard]] NodeStatus WithHeartbeatAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeartbeatAge = std::move(aValue);
    return copy;
  }

  friend bool operator==(const NodeStatus&, const NodeStatus&) = default;
  friend auto operator<=>(const NodeStatus&, const NodeStatus&) = default;

private:
  explicit NodeStatus(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
