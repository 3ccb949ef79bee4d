#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/LeaseGrant.h"

namespace by {

/// A backend server answered a lease request.
class LeaseAnswered
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// VM that answered.
    VmId mVm{};
    /// Epoch under which the lease was requested.
    std::uint64_t mEpoch{ 0 };
    /// When the request was sent; the duration of the lease is counted from here.
    Time mSentAt{};
    /// The answer.
    LeaseGrant mGrant{};
    /// Whether the request asked for the inventory.
    bool mInventory{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LeaseAnswered() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LeaseAnswered> Create(Fields aFields)
  {
    return LeaseAnswered(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// VM that answered.
  const VmId& Vm() const { return mFields.mVm; }
  /// @returns a copy of this value with another Vm.
  [[nodiscard]] LeaseAnswered WithVm(VmId aValue) const
  {
    auto copy = *this;
    copy.mFields.mVm = std::move(aValue);
    return copy;
  }

  /// Epoch under which the lease was requested.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] LeaseAnswered WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// When the request was sent; the duration of the lease is counted from here.
  Time SentAt() const { return mFields.mSentAt; }
  /// @returns a copy of this value with another SentAt.
  [[nodiscard]] LeaseAnswered WithSentAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSentAt = std::move(aValue);
    return copy;
  }

  /// The answer.
  const LeaseGrant& Grant() const { return mFields.mGrant; }
  /// @returns a copy of this value with another Grant.
  [[nodiscard]] LeaseAnswered WithGrant(LeaseGrant aValue) const
  {
    auto copy = *this;
    copy.mFields.mGrant = std::move(aValue);
    return copy;
  }

  /// Whether the request asked for the inventory.
  bool Inventory() const { return mFields.mInventory; }
  /// @returns a copy of this value with another Inventory.
  [[nodiscard]] LeaseAnswered WithInventory(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mInventory = std::move(aValue);
    return copy;
  }

  friend bool operator==(const LeaseAnswered&, const LeaseAnswered&) = default;
  friend auto operator<=>(const LeaseAnswered&, const LeaseAnswered&) = default;

private:
  explicit LeaseAnswered(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
