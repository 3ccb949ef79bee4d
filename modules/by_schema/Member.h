#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/CapacitySummary.h"
#include "by_schema/VmState.h"

namespace by {

/// Another entry node.
class Member
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the node.
    NodeId mNode{};
    /// Identifies its process; zero before its first heartbeat.
    std::uint64_t mIncarnation{ 0 };
    /// Availability zone.
    ZoneId mZone{};
    /// Region; empty until the platform's list provides it.
    std::string mRegion{};
    /// Whether it accepts new work.
    bool mReady{ false };
    /// Whether it has announced that it is stopping.
    bool mLeaving{ false };
    /// When its last heartbeat arrived; zero before the first.
    Time mLastHeard{};
    /// Since when it has been ready and its heartbeats have arrived without a gap.
    Time mSteadySince{};
    /// Sequence number of its last heartbeat.
    std::uint64_t mSequence{ 0 };
    /// Log offset up to which it has applied the records.
    std::uint64_t mAppliedOffset{ 0 };
    /// Version of the configuration in force on it.
    std::uint64_t mConfigVersion{ 0 };
    /// Time between its last read of the log and its last heartbeat.
    Time mLogReadAge{};
    /// Free capacity that it has announced.
    CapacitySummary mSummary{};
    /// Whether the platform's list contains its VM.
    bool mListed{ false };
    /// State of its VM in the platform's list.
    VmState mListState{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Member() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Member> Create(Fields aFields) { return Member(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the node.
  const NodeId& Node() const { return mFields.mNode; }
  /// @returns a copy of this value with another Node.
  [[nodiscard]] Member WithNode(NodeId aValue) const
  {
    auto copy = *this;
    copy.mFields.mNode = std::move(aValue);
    return copy;
  }

  /// Identifies its process; zero before its first heartbeat.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] Member WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] Member WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Region; empty until the platform's list provides it.
  const std::string& Region() const { return mFields.mRegion; }
  /// @returns a copy of this value with another Region.
  [[nodiscard]] Member WithRegion(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mRegion = std::move(aValue);
    return copy;
  }

  /// Whether it accepts new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] Member WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// Whether it has announced that it is stopping.
  bool Leaving() const { return mFields.mLeaving; }
  /// @returns a copy of this value with another Leaving.
  [[nodiscard]] Member WithLeaving(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaving = std::move(aValue);
    return copy;
  }

  /// When its last heartbeat arrived; zero before the first.
  Time LastHeard() const { return mFields.mLastHeard; }
  /// @returns a copy of this value with another LastHeard.
  [[nodiscard]] Member WithLastHeard(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLastHeard = std::move(aValue);
    return copy;
  }

  /// Since when it has been ready and its heartbeats have arrived without a gap.
  Time SteadySince() const { return mFields.mSteadySince; }
  /// @returns a copy of this value with another SteadySince.
  [[nodiscard]] Member WithSteadySince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSteadySince = std::move(aValue);
    return copy;
  }

  /// Sequence number of its last heartbeat.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] Member WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// Log offset up to which it has applied the records.
  std::uint64_t AppliedOffset() const { return mFields.mAppliedOffset; }
  /// @returns a copy of this value with another AppliedOffset.
  [[nodiscard]] Member WithAppliedOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppliedOffset = std::move(aValue);
    return copy;
  }

  /// Version of the configuration in force on it.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns a copy of this value with another ConfigVersion.
  [[nodiscard]] Member WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// Time between its last read of the log and its last heartbeat.
  Time LogReadAge() const { return mFields.mLogReadAge; }
  /// @returns a copy of this value with another LogReadAge.
  [[nodiscard]] Member WithLogReadAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogReadAge = std::move(aValue);
    return copy;
  }

  /// Free capacity that it has announced.
  const CapacitySummary& Summary() const { return mFields.mSummary; }
  /// @returns a copy of this value with another Summary.
  [[nodiscard]] Member WithSummary(CapacitySummary aValue) const
  {
    auto copy = *this;
    copy.mFields.mSummary = std::move(aValue);
    return copy;
  }

  /// Whether the platform's list contains its VM.
  bool Listed() const { return mFields.mListed; }
  /// @returns a copy of this value with another Listed.
  [[nodiscard]] Member WithListed(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mListed = std::move(aValue);
    return copy;
  }

  /// State of its VM in the platform's list.
  VmState ListState() const { return mFields.mListState; }
  /// @returns a copy of this value with another ListState.
  [[nodiscard]] Member WithListState(VmState aValue) const
  {
    auto copy = *this;
    copy.mFields.mListState = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Member&, const Member&) = default;
  friend auto operator<=>(const Member&, const Member&) = default;

private:
  explicit Member(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
