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

/// One member as operators see it.
class NodeStatus
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The node.
    NodeId mNode{};
    /// Its process.
    std::uint64_t mIncarnation{ 0 };
    /// Its availability zone.
    ZoneId mZone{};
    /// alive, suspected, leaving or self.
    std::string mStatus{};
    /// Whether it takes new work.
    bool mReady{ false };
    /// The offset up to which it has applied the log.
    std::uint64_t mAppliedOffset{ 0 };
    /// The version of the configuration it has in force.
    std::uint64_t mConfigVersion{ 0 };
    /// Racks it owns.
    std::int64_t mRacks{ 0 };
    /// Time since its last heartbeat.
    Time mHeartbeatAge{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  NodeStatus() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<NodeStatus> Create(Fields aFields)
  {
    return NodeStatus(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] NodeStatus WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Its process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] NodeStatus WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Its availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns this value with another Zone.
  [[nodiscard]] NodeStatus WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// alive, suspected, leaving or self.
  const std::string& Status() const { return mFields.mStatus; }
  /// @returns this value with another Status.
  [[nodiscard]] NodeStatus WithStatus(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatus = std::move(aValue);
    return copy;
  }

  /// Whether it takes new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns this value with another Ready.
  [[nodiscard]] NodeStatus WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// The offset up to which it has applied the log.
  std::uint64_t AppliedOffset() const { return mFields.mAppliedOffset; }
  /// @returns this value with another AppliedOffset.
  [[nodiscard]] NodeStatus WithAppliedOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppliedOffset = std::move(aValue);
    return copy;
  }

  /// The version of the configuration it has in force.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns this value with another ConfigVersion.
  [[nodiscard]] NodeStatus WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// Racks it owns.
  std::int64_t Racks() const { return mFields.mRacks; }
  /// @returns this value with another Racks.
  [[nodiscard]] NodeStatus WithRacks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRacks = std::move(aValue);
    return copy;
  }

  /// Time since its last heartbeat.
  Time HeartbeatAge() const { return mFields.mHeartbeatAge; }
  /// @returns this value with another HeartbeatAge.
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
