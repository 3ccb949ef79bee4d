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

/// A rack that this node owns.
class HeldRack
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// The rack.
    RackId mRack{};
    /// This node's epoch.
    std::uint64_t mEpoch{ 0 };
    /// Since when this node has known of its epoch.
    Time mSince{};
    /// No task is placed before this point in time, while the old owner's authority may last.
    Time mPlaceFrom{};
    /// Since when it is being handed over; zero while it is kept.
    Time mReleasingSince{};
    /// When its release was last appended; zero before.
    Time mReleaseSent{};
    /// When a backend server refused this epoch for a higher one; zero if none did.
    Time mSupersededAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  HeldRack() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<HeldRack> Create(Fields aFields) { return HeldRack(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// The rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns this value with another Rack.
  [[nodiscard]] HeldRack WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// This node's epoch.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns this value with another Epoch.
  [[nodiscard]] HeldRack WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// Since when this node has known of its epoch.
  Time Since() const { return mFields.mSince; }
  /// @returns this value with another Since.
  [[nodiscard]] HeldRack WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  /// No task is placed before this point in time, while the old owner's authority may last.
  Time PlaceFrom() const { return mFields.mPlaceFrom; }
  /// @returns this value with another PlaceFrom.
  [[nodiscard]] HeldRack WithPlaceFrom(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlaceFrom = std::move(aValue);
    return copy;
  }

  /// Since when it is being handed over; zero while it is kept.
  Time ReleasingSince() const { return mFields.mReleasingSince; }
  /// @returns this value with another ReleasingSince.
  [[nodiscard]] HeldRack WithReleasingSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleasingSince = std::move(aValue);
    return copy;
  }

  /// When its release was last appended; zero before.
  Time ReleaseSent() const { return mFields.mReleaseSent; }
  /// @returns this value with another ReleaseSent.
  [[nodiscard]] HeldRack WithReleaseSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleaseSent = std::move(aValue);
    return copy;
  }

  /// When a backend server refused this epoch for a higher one; zero if none did.
  Time SupersededAt() const { return mFields.mSupersededAt; }
  /// @returns this value with another SupersededAt.
  [[nodiscard]] HeldRack WithSupersededAt(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSupersededAt = std::move(aValue);
    return copy;
  }

  friend bool operator==(const HeldRack&, const HeldRack&) = default;
  friend auto operator<=>(const HeldRack&, const HeldRack&) = default;

private:
  explicit HeldRack(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
