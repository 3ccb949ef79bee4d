#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/CellSettings.h"
#include "by_schema/Endpoint.h"

namespace by {

/// Settings of one entry node.
class EntrySettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    std::string mNode{};
    /// Identifies this process; drawn at random at each process start.
    std::uint64_t mIncarnation{ 0 };
    /// Endpoint at which the node accepts links from other nodes.
    Endpoint mLink{};
    /// Interval between the calls that renew the membership in the group.
    Time mJoinInterval{ Time::FromMilliseconds(300) };
    /// The store elects another owner if this node is not heard from for this long.
    Time mMembershipTtl{ Time::FromMilliseconds(1200) };
    /// Interval between heartbeats on a link.
    Time mHeartbeatInterval{ Time::FromMilliseconds(500) };
    /// A link without a heartbeat for this long is closed and opened again.
    Time mLinkTimeout{ Time::FromMilliseconds(1500) };
    /// Maximum time between the arrival of a caller's request and its reply while the request is
    /// not forwarded to an owner.
    Time mOwnerWait{ Time::FromMilliseconds(800) };
    /// Maximum time between the arrival of a caller's request and its reply once the request is
    /// forwarded to an owner.
    Time mAnswerWait{ Time::FromMilliseconds(2000) };
    /// Delay after which refused callers should retry.
    Time mRetryAfter{ Time::FromMilliseconds(500) };
    /// How long load balancers take to notice that the node is not ready.
    Time mDrainTime{ Time::FromMilliseconds(2500) };
    /// Settings that apply while this node owns the cell.
    CellSettings mCell{};
    /// Availability zone of the node.
    ZoneId mZone{};
    /// Processor time that the node may use; nodes with more are preferred as owners.
    std::uint32_t mProcessorShare{ 1000 };
    /// An owner whose events wait longer than this takes no new jobs.
    Time mOverloadDelay{ Time::FromMilliseconds(400) };
    /// How long a node that neither the store nor the owner confirms its configuration to goes on
    /// accepting keys.
    Time mKeyTrust{ Time::FromMilliseconds(5000) };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  EntrySettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<EntrySettings> Create(Fields aFields)
  {
    return EntrySettings(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] EntrySettings WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies this process; drawn at random at each process start.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] EntrySettings WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Endpoint at which the node accepts links from other nodes.
  const Endpoint& Link() const { return mFields.mLink; }
  /// @returns a copy of this value with another Link.
  [[nodiscard]] EntrySettings WithLink(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
    return copy;
  }

  /// Interval between the calls that renew the membership in the group.
  Time JoinInterval() const { return mFields.mJoinInterval; }
  /// @returns a copy of this value with another JoinInterval.
  [[nodiscard]] EntrySettings WithJoinInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mJoinInterval = std::move(aValue);
    return copy;
  }

  /// The store elects another owner if this node is not heard from for this long.
  Time MembershipTtl() const { return mFields.mMembershipTtl; }
  /// @returns a copy of this value with another MembershipTtl.
  [[nodiscard]] EntrySettings WithMembershipTtl(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMembershipTtl = std::move(aValue);
    return copy;
  }

  /// Interval between heartbeats on a link.
  Time HeartbeatInterval() const { return mFields.mHeartbeatInterval; }
  /// @returns a copy of this value with another HeartbeatInterval.
  [[nodiscard]] EntrySettings WithHeartbeatInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeartbeatInterval = std::move(aValue);
    return copy;
  }

  /// A link without a heartbeat for this long is closed and opened again.
  Time LinkTimeout() const { return mFields.mLinkTimeout; }
  /// @returns a copy of this value with another LinkTimeout.
  [[nodiscard]] EntrySettings WithLinkTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLinkTimeout = std::move(aValue);
    return copy;
  }

  /// Maximum time between the arrival of a caller's request and its reply while the request is not
  /// forwarded to an owner.
  Time OwnerWait() const { return mFields.mOwnerWait; }
  /// @returns a copy of this value with another OwnerWait.
  [[nodiscard]] EntrySettings WithOwnerWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwnerWait = std::move(aValue);
    return copy;
  }

  /// Maximum time between the arrival of a caller's request and its reply once the request is
  /// forwarded to an owner.
  Time AnswerWait() const { return mFields.mAnswerWait; }
  /// @returns a copy of this value with another AnswerWait.
  [[nodiscard]] EntrySettings WithAnswerWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswerWait = std::move(aValue);
    return copy;
  }

  /// Delay after which refused callers should retry.
  Time RetryAfter() const { return mFields.mRetryAfter; }
  /// @returns a copy of this value with another RetryAfter.
  [[nodiscard]] EntrySettings WithRetryAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRetryAfter = std::move(aValue);
    return copy;
  }

  /// How long load balancers take to notice that the node is not ready.
  Time DrainTime() const { return mFields.mDrainTime; }
  /// @returns a copy of this value with another DrainTime.
  [[nodiscard]] EntrySettings WithDrainTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDrainTime = std::move(aValue);
    return copy;
  }

  /// Settings that apply while this node owns the cell.
  const CellSettings& Cell() const { return mFields.mCell; }
  /// @returns a copy of this value with another Cell.
  [[nodiscard]] EntrySettings WithCell(CellSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mCell = std::move(aValue);
    return copy;
  }

  /// Availability zone of the node.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] EntrySettings WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Processor time that the node may use; nodes with more are preferred as owners.
  std::uint32_t ProcessorShare() const { return mFields.mProcessorShare; }
  /// @returns a copy of this value with another ProcessorShare.
  [[nodiscard]] EntrySettings WithProcessorShare(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessorShare = std::move(aValue);
    return copy;
  }

  /// An owner whose events wait longer than this takes no new jobs.
  Time OverloadDelay() const { return mFields.mOverloadDelay; }
  /// @returns a copy of this value with another OverloadDelay.
  [[nodiscard]] EntrySettings WithOverloadDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOverloadDelay = std::move(aValue);
    return copy;
  }

  /// How long a node that neither the store nor the owner confirms its configuration to goes on
  /// accepting keys.
  Time KeyTrust() const { return mFields.mKeyTrust; }
  /// @returns a copy of this value with another KeyTrust.
  [[nodiscard]] EntrySettings WithKeyTrust(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mKeyTrust = std::move(aValue);
    return copy;
  }

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;

private:
  explicit EntrySettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
