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
#include "by_schema/Endpoint.h"
#include "by_schema/Resources.h"

namespace by {

/// Registry entry that a worker publishes about itself.
class WorkerRegistration
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Name of the worker.
    std::string mId{};
    /// Pool that it serves.
    std::string mPool{};
    /// Endpoint at which it accepts orders.
    by::Endpoint mEndpoint{};
    /// Availability zone.
    ZoneId mZone{};
    /// Whether it accepts no new tasks because it is about to leave.
    bool mDraining{ false };
    /// Total resources.
    Resources mCapacity{};
    /// Labels that steps can require.
    std::vector<std::string> mLabels{};
    /// Rack that it stands in.
    RackId mRack{};
    /// Start time of its process, since 1970.
    Time mProcessStart{};
    /// Minimum time that a draining worker still stays; zero if it does not say.
    Time mDrainTimeLeft{};
    /// Machine that it runs on; empty if it does not say.
    std::string mMachine{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WorkerRegistration() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WorkerRegistration> Create(Fields aFields)
  {
    return WorkerRegistration(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Name of the worker.
  const std::string& Id() const { return mFields.mId; }
  /// @returns a copy of this value with another Id.
  [[nodiscard]] WorkerRegistration WithId(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mId = std::move(aValue);
    return copy;
  }

  /// Pool that it serves.
  const std::string& Pool() const { return mFields.mPool; }
  /// @returns a copy of this value with another Pool.
  [[nodiscard]] WorkerRegistration WithPool(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPool = std::move(aValue);
    return copy;
  }

  /// Endpoint at which it accepts orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns a copy of this value with another Endpoint.
  [[nodiscard]] WorkerRegistration WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns a copy of this value with another Zone.
  [[nodiscard]] WorkerRegistration WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Whether it accepts no new tasks because it is about to leave.
  bool Draining() const { return mFields.mDraining; }
  /// @returns a copy of this value with another Draining.
  [[nodiscard]] WorkerRegistration WithDraining(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDraining = std::move(aValue);
    return copy;
  }

  /// Total resources.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns a copy of this value with another Capacity.
  [[nodiscard]] WorkerRegistration WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Labels that steps can require.
  const std::vector<std::string>& Labels() const { return mFields.mLabels; }
  /// @returns a copy of this value with another Labels.
  [[nodiscard]] WorkerRegistration WithLabels(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabels = std::move(aValue);
    return copy;
  }

  /// Rack that it stands in.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] WorkerRegistration WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Start time of its process, since 1970.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns a copy of this value with another ProcessStart.
  [[nodiscard]] WorkerRegistration WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  /// Minimum time that a draining worker still stays; zero if it does not say.
  Time DrainTimeLeft() const { return mFields.mDrainTimeLeft; }
  /// @returns a copy of this value with another DrainTimeLeft.
  [[nodiscard]] WorkerRegistration WithDrainTimeLeft(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDrainTimeLeft = std::move(aValue);
    return copy;
  }

  /// Machine that it runs on; empty if it does not say.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns a copy of this value with another Machine.
  [[nodiscard]] WorkerRegistration WithMachine(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mMachine = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WorkerRegistration&, const WorkerRegistration&) = default;
  friend auto operator<=>(const WorkerRegistration&, const WorkerRegistration&) = default;

private:
  explicit WorkerRegistration(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
