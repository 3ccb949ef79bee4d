#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/CellSettings.h"
#include "by_schema/Endpoint.h"

namespace by {

/// What one entry node needs to know.
class EntrySettings
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Its name.
    std::string mNode{};
    /// Drawn anew at each start of the process.
    std::uint64_t mIncarnation{ 0 };
    /// Where it takes messages of other nodes.
    Endpoint mLink{};
    /// Pause between calls that keep it in the group.
    Time mJoinInterval{ Time::FromMilliseconds(300) };
    /// The store gives the cell away after this long without a call.
    Time mMembershipTtl{ Time::FromMilliseconds(1200) };
    /// Pause between signs of life on a link.
    Time mHeartbeatInterval{ Time::FromMilliseconds(500) };
    /// A link without a sign of life for this long is opened anew.
    Time mLinkTimeout{ Time::FromMilliseconds(1500) };
    /// How long a caller's request waits in all where no owner has it.
    Time mOwnerWait{ Time::FromMilliseconds(800) };
    /// How long a caller's request waits in all where an owner has it.
    Time mAnswerWait{ Time::FromMilliseconds(2000) };
    /// When callers should come back after a refusal.
    Time mRetryAfter{ Time::FromMilliseconds(500) };
    /// How long the balancer needs to notice that the node is not ready.
    Time mDrainTime{ Time::FromMilliseconds(2500) };
    /// The part that this node plays when it owns the cell.
    CellSettings mCell{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  EntrySettings() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<EntrySettings> Create(Fields aFields)
  {
    return EntrySettings(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Its name.
  const std::string& Node() const { return mFields.mNode; }
  /// @returns this value with another Node.
  [[nodiscard]] EntrySettings WithNode(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Drawn anew at each start of the process.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] EntrySettings WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Where it takes messages of other nodes.
  const Endpoint& Link() const { return mFields.mLink; }
  /// @returns this value with another Link.
  [[nodiscard]] EntrySettings WithLink(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mLink = std::move(aValue);
    return copy;
  }

  /// Pause between calls that keep it in the group.
  Time JoinInterval() const { return mFields.mJoinInterval; }
  /// @returns this value with another JoinInterval.
  [[nodiscard]] EntrySettings WithJoinInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mJoinInterval = std::move(aValue);
    return copy;
  }

  /// The store gives the cell away after this long without a call.
  Time MembershipTtl() const { return mFields.mMembershipTtl; }
  /// @returns this value with another MembershipTtl.
  [[nodiscard]] EntrySettings WithMembershipTtl(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mMembershipTtl = std::move(aValue);
    return copy;
  }

  /// Pause between signs of life on a link.
  Time HeartbeatInterval() const { return mFields.mHeartbeatInterval; }
  /// @returns this value with another HeartbeatInterval.
  [[nodiscard]] EntrySettings WithHeartbeatInterval(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mHeartbeatInterval = std::move(aValue);
    return copy;
  }

  /// A link without a sign of life for this long is opened anew.
  Time LinkTimeout() const { return mFields.mLinkTimeout; }
  /// @returns this value with another LinkTimeout.
  [[nodiscard]] EntrySettings WithLinkTimeout(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLinkTimeout = std::move(aValue);
    return copy;
  }

  /// How long a caller's request waits in all where no owner has it.
  Time OwnerWait() const { return mFields.mOwnerWait; }
  /// @returns this value with another OwnerWait.
  [[nodiscard]] EntrySettings WithOwnerWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mOwnerWait = std::move(aValue);
    return copy;
  }

  /// How long a caller's request waits in all where an owner has it.
  Time AnswerWait() const { return mFields.mAnswerWait; }
  /// @returns this value with another AnswerWait.
  [[nodiscard]] EntrySettings WithAnswerWait(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mAnswerWait = std::move(aValue);
    return copy;
  }

  /// When callers should come back after a refusal.
  Time RetryAfter() const { return mFields.mRetryAfter; }
  /// @returns this value with another RetryAfter.
  [[nodiscard]] EntrySettings WithRetryAfter(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mRetryAfter = std::move(aValue);
    return copy;
  }

  /// How long the balancer needs to notice that the node is not ready.
  Time DrainTime() const { return mFields.mDrainTime; }
  /// @returns this value with another DrainTime.
  [[nodiscard]] EntrySettings WithDrainTime(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDrainTime = std::move(aValue);
    return copy;
  }

  /// The part that this node plays when it owns the cell.
  const CellSettings& Cell() const { return mFields.mCell; }
  /// @returns this value with another Cell.
  [[nodiscard]] EntrySettings WithCell(CellSettings aValue) const
  {
    auto copy = *this;
    copy.mFields.mCell = std::move(aValue);
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
