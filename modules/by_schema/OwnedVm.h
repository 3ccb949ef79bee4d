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

/// One VM as its owner sees it.
class OwnedVm
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The VM.
    VmId mVm{};
    /// Its rack.
    RackId mRack{};
    /// The epoch of its lease; zero without a lease.
    std::uint64_t mEpoch{ 0 };
    /// Until when this node may place on it.
    Time mLeaseUntil{};
    /// What it offers.
    Resources mCapacity{};
    /// What is taken.
    Resources mCommitted{};
    /// Tasks on it.
    std::int64_t mTasks{ 0 };
    /// live, leaving, set_aside or unleased.
    std::string mStatus{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  OwnedVm() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<OwnedVm> Create(Fields aFields) { return OwnedVm(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The VM.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns this value with another Vm.
  [[nodiscard]] OwnedVm WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Its rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns this value with another Rack.
  [[nodiscard]] OwnedVm WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// The epoch of its lease; zero without a lease.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] OwnedVm WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Until when this node may place on it.
  Time LeaseUntil() const { return mFields.mLeaseUntil; }
  /// @returns this value with another LeaseUntil.
  [[nodiscard]] OwnedVm WithLeaseUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseUntil = std::move(aValue);
    return copy;
  }

  /// What it offers.
  const Resources& Capacity() const { return mFields.mCapacity; }
  /// @returns this value with another Capacity.
  [[nodiscard]] OwnedVm WithCapacity(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCapacity = std::move(aValue);
    return copy;
  }

  /// What is taken.
  const Resources& Committed() const { return mFields.mCommitted; }
  /// @returns this value with another Committed.
  [[nodiscard]] OwnedVm WithCommitted(Resources aValue) const
  {
    auto copy = *this;
    copy.mFields.mCommitted = std::move(aValue);
    return copy;
  }

  /// Tasks on it.
  std::int64_t Tasks() const { return mFields.mTasks; }
  /// @returns this value with another Tasks.
  [[nodiscard]] OwnedVm WithTasks(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mTasks = std::move(aValue);
    return copy;
  }

  /// live, leaving, set_aside or unleased.
  const std::string& Status() const { return mFields.mStatus; }
  /// @returns this value with another Status.
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
