#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// A VM as the owner of its rack sees it.
class OwnedVm
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the VM.
    VmId mVm{};
    /// Rack that it stands in.
    RackId mRack{};
    /// Epoch of its lease; zero without a lease.
    std::uint64_t mEpoch{ 0 };
    /// Until when this node may place tasks on it.
    Time mLeaseUntil{};
    /// Total resources.
    Resources mCapacity{};
    /// Resources committed to its tasks.
    Resources mCommitted{};
    /// Number of tasks on it.
    std::int64_t mTasks{ 0 };
    /// One of live, leaving, set_aside and unleased.
    std::string mStatus{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  OwnedVm() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<OwnedVm> Create(Fields aFields) { return OwnedVm(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the VM.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] OwnedVm WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Rack that it stands in.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] OwnedVm WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Epoch of its lease; zero without a lease.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] OwnedVm WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Until when this node may place tasks on it.
  Time LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns a copy of this value with another LeaseUntil.
  [[nodiscard]] OwnedVm WithLeaseUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// Total resources.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns a copy of this value with another Capacity.
  [[nodiscard]] OwnedVm WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// Resources committed to its tasks.
  const Resources& Committed() const { return mFields.mCommitted; }
  /// @returns a copy of this value with another Committed.
  [[nodiscard]] OwnedVm WithCommitted(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCommitted = std::move(aValue);
    return copy;
  }

  /// Number of tasks on it.
  std::int64_t Tasks() const { return mFields.mTasks; }
  /// @returns a copy of this value with another Tasks.
  [[nodiscard]] OwnedVm WithTasks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// One of live, leaving, set_aside and unleased.
  const std::string& Status() const { return mFields.mStatus; }
  /// @returns a copy of this value with another Status.
  [[nodiscard]] OwnedVm WithStatus(std::string aValue) const
  {
    auto copy = *this;
    copy.mFields.mStatus = std::move(aValue);
    return copy;
  }

  friend bool operator==(const OwnedVm&, const OwnedVm&) = default;
  friend auto operator<=>(const OwnedVm&, const OwnedVm&) = default;

private:
  explicit OwnedVm(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
