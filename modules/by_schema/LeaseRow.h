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

/// The lease of one VM in a rack that this node owns.
class LeaseRow
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The VM.
    VmDescription mDescription{};
    /// The epoch that the lease is asked for under.
    std::uint64_t mEpoch{ 0 };
    /// The server's process; zero before its first grant under this epoch.
    std::uint64_t mIncarnation{ 0 };
    /// When the request for the last grant was sent.
    Time mGrantedAt{};
    /// Until when this node may act on the last grant.
    Time mGrantedUntil{};
    /// Whether all tasks on it are known and this node has taken it over.
    bool mAdopted{ false };
    /// Requests sent later than this ask for the inventory, until the VM is adopted.
    Time mInventoryRequestedAt{};
    /// When the next request is due.
    Time mNextRequest{};
    /// When the last request was sent; zero before the first.
    Time mLastSent{};
    /// Whether it was reported that its lease has lapsed for certain and nothing runs on it.
    bool mLeaseExpired{ false };
    /// Whether the server has refused this epoch for a higher one.
    bool mRefused{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  LeaseRow() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<LeaseRow> Create(Fields aFields) { return LeaseRow(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The VM.
  const VmDescription& Description() const { return mFields.mDescription; }
  /// @returns this value with another Description.
  [[nodiscard]] LeaseRow WithDescription(VmDescription aValue) const
  {
    auto copy = *this;
    copy.mFields.mDescription = std::move(aValue);
    return copy;
  }

  /// The epoch that the lease is asked for under.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] LeaseRow WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// The server's process; zero before its first grant under this epoch.
  std::uint64_t Incarnation() const { return mFields.mIncarnation; }
  /// @returns this value with another Incarnation.
  [[nodiscard]] LeaseRow WithIncarnation(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mIncarnation = std::move(aValue);
    return copy;
  }

  /// When the request for the last grant was sent.
  Time GrantedAt() const { return mFields.mGrantedAt; }
  /// @returns this value with another GrantedAt.
  [[nodiscard]] LeaseRow WithGrantedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrantedAt = std::move(aValue);
    return copy;
  }

  /// Until when this node may act on the last grant.
  Time GrantedUntil() const { return mFields.mGrantedUntil; }
  /// @returns this value with another GrantedUntil.
  [[nodiscard]] LeaseRow WithGrantedUntil(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrantedUntil = std::move(aValue);
    return copy;
  }

  /// Whether all tasks on it are known and this node has taken it over.
  bool Adopted() const { return mFields.mAdopted; }
  /// @returns this value with another Adopted.
  [[nodiscard]] LeaseRow WithAdopted(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mAdopted = std::move(aValue);
    return copy;
  }

  /// Requests sent later than this ask for the inventory, until the VM is adopted.
  Time InventoryRequestedAt() const { return mFields.mInventoryRequestedAt; }
  /// @returns this value with another InventoryRequestedAt.
  [[nodiscard]] LeaseRow WithInventoryRequestedAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mInventoryRequestedAt = std::move(aValue);
    return copy;
  }

  /// When the next request is due.
  Time NextRequest() const { return mFields.mNextRequest; }
  /// @returns this value with another NextRequest.
  [[nodiscard]] LeaseRow WithNextRequest(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextRequest = std::move(aValue);
    return copy;
  }

  /// When the last request was sent; zero before the first.
  Time LastSent() const { return mFields.mLastSent; }
  /// @returns this value with another LastSent.
  [[nodiscard]] LeaseRow WithLastSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mLastSent = std::move(aValue);
    return copy;
  }

  /// Whether it was reported that its lease has lapsed for certain and nothing runs on it.
  bool LeaseExpired() const { return mFields.mLeaseExpired; }
  /// @returns this value with another LeaseExpired.
  [[nodiscard]] LeaseRow WithLeaseExpired(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mLeaseExpired = std::move(aValue);
    return copy;
  }

  /// Whether the server has refused this epoch for a higher one.
  bool Refused() const { return mFields.mRefused; }
  /// @returns this value with another Refused.
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
