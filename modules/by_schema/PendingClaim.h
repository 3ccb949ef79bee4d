#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// A claim of a rack whose outcome has not been read from the log yet.
class PendingClaim
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the rack.
    RackId mRack{};
    /// Epoch that the claim follows.
    std::uint64_t mPreviousEpoch{ 0 };
    /// When the previous owner's backend servers were last checked for being reachable; zero if
    /// never.
    Time mProbed{};
    /// When the claim was last appended to the log; zero before the first time.
    Time mSent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PendingClaim() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PendingClaim> Create(Fields aFields)
  {
    return PendingClaim(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] PendingClaim WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Epoch that the claim follows.
  std::uint64_t PreviousEpoch() const { return mFields.mPreviousEpoch; }
  /// @returns a copy of this value with another PreviousEpoch.
  [[nodiscard]] PendingClaim WithPreviousEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPreviousEpoch = std::move(aValue);
    return copy;
  }

  /// When the previous owner's backend servers were last checked for being reachable; zero if
  /// never.
  Time Probed() const { return mFields.mProbed; }
  /// @returns a copy of this value with another Probed.
  [[nodiscard]] PendingClaim WithProbed(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mProbed = std::move(aValue);
    return copy;
  }

  /// When the claim was last appended to the log; zero before the first time.
  Time Sent() const { return mFields.mSent; }
  /// @returns a copy of this value with another Sent.
  [[nodiscard]] PendingClaim WithSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PendingClaim&, const PendingClaim&) = default;
  friend auto operator<=>(const PendingClaim&, const PendingClaim&) = default;

private:
  explicit PendingClaim(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
