#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/VmDescription.h"

namespace by {

/// Lease on one VM in a rack that this node owns.
class LeaseRow
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Description of the VM from the platform's list.
    VmDescription mDescription{};
    /// Epoch under which the lease is requested.
    std::uint64_t mEpoch{ 0 };
    /// Identifies the backend server's process; zero before its first grant under this epoch.
    std::uint64_t mIncarnation{ 0 };
    /// When the request for the last grant was sent.
    Time mGrantedAt{};
    /// Until when this node may act on the last grant.
    Time mGrantedUntil{};
    /// Whether this node knows all tasks on the VM and has taken the VM over.
    bool mAdopted{ false };
    /// A grant counts as an inventory only if its request was sent after this time; meaningful
    /// until the VM is adopted.
    Time mInventoryRequestedAt{};
    /// When the next request is due.
    Time mNextRequest{};
    /// When the last request was sent; zero before the first.
    Time mLastSent{};
    /// Whether it was reported that the lease has certainly expired and no task runs on the VM.
    bool mLeaseExpired{ false };
    /// Whether the backend server has rejected this epoch because of a higher one.
    bool mRefused{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaseRow() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaseRow> Create(Fields aFields) { return LeaseRow(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Description of the VM from the platform's list.
  const VmDescription& Description() const { return mFields.mDescription; }
  /// @returns a copy of this value with another Description.
  [[nodiscard]] LeaseRow WithDescription(VmDescription aValue) const
  {
    auto copy = *this;
    copy.mFields.mDescription = std::move(aValue);
    return copy;
  }

  /// Epoch under which the lease is requested.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LeaseRow WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Identifies the backend server's process; zero before its first grant under this epoch.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns a copy of this value with another Incarnation.
  [[nodiscard]] LeaseRow WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// When the request for the last grant was sent.
  Time GrantedAt() const { return mFields.mGrantedAt; }
  /// @returns a copy of this value with another GrantedAt.
  [[nodiscard]] LeaseRow WithGrantedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrantedAt = std::move(aValue);
    return copy;
  }

  /// Until when this node may act on the last grant.
  Time GrantedUntil() const { return mFields.mGrantedUntil; }
  /// @returns a copy of this value with another GrantedUntil.
  [[nodiscard]] LeaseRow WithGrantedUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrantedUntil = std::move(aValue);
    return copy;
  }

  /// Whether this node knows all tasks on the VM and has taken the VM over.
  bool Adopted() const { return mFields.mAdopted; }
  /// @returns a copy of this value with another Adopted.
  [[nodiscard]] LeaseRow WithAdopted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAdopted = std::move(aValue);
    return copy;
  }

  /// A grant counts as an inventory only if its request was sent after this time; meaningful until
  /// the VM is adopted.
  Time InventoryRequestedAt() const { return mFields.mInventoryRequestedAt; }
  /// @returns a copy of this value with another InventoryRequestedAt.
  [[nodiscard]] LeaseRow WithInventoryRequestedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mInventoryRequestedAt = std::move(aValue);
    return copy;
  }

  /// When the next request is due.
  Time NextRequest() const { return mFields.mNextRequest; }
  /// @returns a copy of this value with another NextRequest.
  [[nodiscard]] LeaseRow WithNextRequest(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextRequest = std::move(aValue);
    return copy;
  }

  /// When the last request was sent; zero before the first.
  Time LastSent() const { return mFields.mLastSent; }
  /// @returns a copy of this value with another LastSent.
  [[nodiscard]] LeaseRow WithLastSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLastSent = std::move(aValue);
    return copy;
  }

  /// Whether it was reported that the lease has certainly expired and no task runs on the VM.
  bool LeaseExpired() const { return mFields.mLeaseExpired; }
  /// @returns a copy of this value with another LeaseExpired.
  [[nodiscard]] LeaseRow WithLeaseExpired(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseExpired = std::move(aValue);
    return copy;
  }

  /// Whether the backend server has rejected this epoch because of a higher one.
  bool Refused() const { return mFields.mRefused; }
  /// @returns a copy of this value with another Refused.
  [[nodiscard]] LeaseRow WithRefused(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mRefused = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
  friend auto operator<=>(const LeaseRow&, const LeaseRow&) = default;

private:
  explicit LeaseRow(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
