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

namespace by {

/// Sent to every other entry node over UDP at the heartbeat interval.
class Heartbeat
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the sender.
    NodeId mNode{};
    /// Identifies the sender's process; drawn at random at each process start.
    std::uint64_t mIncarnation{ 0 };
    /// Sequence number of the heartbeat within the process.
    std::uint64_t mSequence{ 0 };
    /// Availability zone of the sender.
    ZoneId mZone{};
    /// Whether the sender accepts new work.
    bool mReady{ false };
    /// Whether the sender is stopping.
    bool mLeaving{ false };
    /// Log offset up to which the sender has applied the records.
    std::uint64_t mAppliedOffset{ 0 };
    /// Version of the configuration in force on the sender.
    std::uint64_t mConfigVersion{ 0 };
    /// Time since the sender last read the log.
    Time mLogReadAge{};
    /// Free capacity of the sender.
    CapacitySummary mSummary{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Heartbeat() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Heartbeat> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the sender.
  const NodeId& Node() const { return mFields.mNode; }

  /// Identifies the sender's process; drawn at random at each process start.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] Heartbeat WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// Sequence number of the heartbeat within the process.
  std::uint64_t Sequence() const { return mFields.mSequence; }
  /// @returns a copy of this value with another Sequence.
  [[nodiscard]] Heartbeat WithSequence(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSequence = std::move(aValue);
    return copy;
  }

  /// Availability zone of the sender.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] Heartbeat WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Whether the sender accepts new work.
  bool Ready() const { return mFields.mReady; }
  /// @returns a copy of this value with another Ready.
  [[nodiscard]] Heartbeat WithReady(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mReady = std::move(aValue);
    return copy;
  }

  /// Whether the sender is stopping.
  bool Leaving() const { return mFields.mLeaving; }
  /// @returns a copy of this value with another Leaving.
  [[nodiscard]] Heartbeat WithLeaving(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaving = std::move(aValue);
    return copy;
  }

  /// Log offset up to which the sender has applied the records.
  std::uint64_t AppliedOffset() const { return mFields.mAppliedOffset; }
  /// @returns a copy of this value with another AppliedOffset.
  [[nodiscard]] Heartbeat WithAppliedOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppliedOffset = std::move(aValue);
    return copy;
  }

  /// Version of the configuration in force on the sender.
  std::uint64_t ConfigVersion() const { return mFields.mConfigVersion; }
  /// @returns a copy of this value with another ConfigVersion.
  [[nodiscard]] Heartbeat WithConfigVersion(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mConfigVersion = std::move(aValue);
    return copy;
  }

  /// Time since the sender last read the log.
  Time LogReadAge() const { return mFields.mLogReadAge; }
  /// @returns a copy of this value with another LogReadAge.
  [[nodiscard]] Heartbeat WithLogReadAge(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLogReadAge = std::move(aValue);
    return copy;
  }

  /// Free capacity of the sender.
  const CapacitySummary& Summary() const { return mFields.mSummary; }
  /// @returns a copy of this value with another Summary.
  [[nodiscard]] Heartbeat WithSummary(CapacitySummary aValue) const
  {
    auto copy = *this;
    copy.mFields.mSummary = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;

private:
  explicit Heartbeat(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
