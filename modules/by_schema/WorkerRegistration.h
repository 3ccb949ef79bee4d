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

/// What a worker registered of itself.
class WorkerRegistration
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Its name.
    std::string mId{};
    /// The pool that it serves.
    std::string mPool{};
    /// Where it takes orders.
    by::Endpoint mEndpoint{};
    /// Its availability zone.
    ZoneId mZone{};
    /// Whether it takes no new tasks because it is leaving.
    bool mDraining{ false };
    /// What it holds in all.
    Resources mCapacity{};
    /// Its labels.
    std::vector<std::string> mLabels{};
    /// Its rack.
    RackId mRack{};
    /// When its process started, since 1970.
    Time mProcessStart{};
    /// How long it stays at least while draining.
    Time mDrainTimeLeft{};
    /// The machine that it runs on; empty where it does not tell.
    std::string mMachine{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WorkerRegistration() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WorkerRegistration> Create(Fields aFields)
  {
    return WorkerRegistration(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Its name.
  const std::string& Id() const { return mFields.mId; }
  /// @returns this value with another Id.
  [[nodiscard]] WorkerRegistration WithId(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mId = std::move(aValue);
    return copy;
  }

  /// The pool that it serves.
  const std::string& Pool() const { return mFields.mPool; }
  /// @returns this value with another Pool.
  [[nodiscard]] WorkerRegistration WithPool(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mPool = std::move(aValue);
    return copy;
  }

  /// Where it takes orders.
  const by::Endpoint& Endpoint() const { return mFields.mEndpoint; }
  /// @returns this value with another Endpoint.
  [[nodiscard]] WorkerRegistration WithEndpoint(by::Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mEndpoint = std::move(aValue);
    return copy;
  }

  /// Its availability zone.
  const ZoneId& Zone() const { return mFields.mZone; }
  /// @returns this value with another Zone.
  [[nodiscard]] WorkerRegistration WithZone(ZoneId aValue) const
  {
    auto copy = *this;
    copy.mFields.mZone = std::move(aValue);
    return copy;
  }

  /// Whether it takes no new tasks because it is leaving.
  bool Draining() const { return mFields.mDraining; }
  /// @returns this value with another Draining.
  [[nodiscard]] WorkerRegistration WithDraining(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mDraining = std::move(aValue);
    return copy;
  }

  /// What it holds in all.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns this value with another Capacity.
  [[nodiscard]] WorkerRegistration WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Its labels.
  const std::vector<std::string>& Labels() const { return mFields.mLabels; }
  /// @returns this value with another Labels.
  [[nodiscard]] WorkerRegistration WithLabels(std::vector<std::string> aValue) const
  {
    auto copy = *this;
    copy.mFields.mLabels = std::move(aValue);
    return copy;
  }

  /// Its rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns this value with another Rack.
  [[nodiscard]] WorkerRegistration WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// When its process started, since 1970.
  Time ProcessStart() const { return mFields.mProcessStart; }
  /// @returns this value with another ProcessStart.
  [[nodiscard]] WorkerRegistration WithProcessStart(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProcessStart = std::move(aValue);
    return copy;
  }

  /// How long it stays at least while draining.
  Time DrainTimeLeft() const { return mFields.mDrainTimeLeft; }
  /// @returns this value with another DrainTimeLeft.
  [[nodiscard]] WorkerRegistration WithDrainTimeLeft(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mDrainTimeLeft = std::move(aValue);
    return copy;
  }

  /// The machine that it runs on; empty where it does not tell.
  const std::string& Machine() const { return mFields.mMachine; }
  /// @returns this value with another Machine.
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
