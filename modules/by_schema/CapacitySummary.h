#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Resources.h"

namespace by {

/// Ownership and free capacity of one node, so that other nodes can forward requests to it.
class CapacitySummary
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Total free resources of the VMs that the node may place tasks on.
    Resources mFree{};
    /// Largest free amount of each resource on one of these VMs; the amounts may belong to
    /// different VMs.
    Resources mLargest{};
    /// Number of requests in the node's queue.
    std::int64_t mQueued{ 0 };
    /// Number of racks that the node owns.
    std::int64_t mRacks{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  CapacitySummary() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<CapacitySummary> Create(Fields aFields)
  {
    return CapacitySummary(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Total free resources of the VMs that the node may place tasks on.
  const Resources& Free() const { return mFields.mFree; }
  /// @returns a copy of this value with another Free.
  [[nodiscard]] CapacitySummary WithFree(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mFree = std::move(aValue);
    return copy;
  }

  /// Largest free amount of each resource on one of these VMs; the amounts may belong to different
  /// VMs.
  const Resources& Largest() const { return mFields.mLargest; }
  /// @returns a copy of this value with another Largest.
  [[nodiscard]] CapacitySummary WithLargest(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mLargest = std::move(aValue);
    return copy;
  }

  /// Number of requests in the node's queue.
  std::int64_t Queued() const { return mFields.mQueued; }
  /// @returns a copy of this value with another Queued.
  [[nodiscard]] CapacitySummary WithQueued(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueued = std::move(aValue);
    return copy;
  }

  /// Number of racks that the node owns.
  std::int64_t Racks() const { return mFields.mRacks; }
  /// @returns a copy of this value with another Racks.
  [[nodiscard]] CapacitySummary WithRacks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRacks = std::move(aValue);
    return copy;
  }

  friend bool operator==(const CapacitySummary&, const CapacitySummary&) = default;
  friend auto operator<=>(const CapacitySummary&, const CapacitySummary&) = default;

private:
  explicit CapacitySummary(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
