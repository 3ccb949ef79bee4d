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
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the rack.
    RackId mRack{};
    /// Epoch under which this node owns the rack.
    std::uint64_t mEpoch{ 0 };
    /// When this node learned of its epoch.
    Time mSince{};
    /// No task is placed before this time, because the previous owner's authority may last until
    /// then; zero if there is nothing to wait for: the rack was released, or servers compare
    /// epochs.
    Time mPlaceFrom{};
    /// When this node began to hand the rack off; zero if it keeps the rack.
    Time mReleasingSince{};
    /// When the release was last appended to the log; zero before the first time.
    Time mReleaseSent{};
    /// When a backend server rejected this epoch because of a higher one; zero if none did.
    Time mSupersededAt{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  HeldRack() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<HeldRack> Create(Fields aFields) { return HeldRack(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the rack.
  const RackId& Rack() const { return mFields.mRack; }
  /// @returns a copy of this value with another Rack.
  [[nodiscard]] HeldRack WithRack(RackId aValue) const
  {
    auto copy = *this;
    copy.mFields.mRack = std::move(aValue);
    return copy;
  }

  /// Epoch under which this node owns the rack.
  std::uint64_t Epoch() const { return mFields.mEpoch; }
  /// @returns a copy of this value with another Epoch.
  [[nodiscard]] HeldRack WithEpoch(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mEpoch = std::move(aValue);
    return copy;
  }

  /// When this node learned of its epoch.
  Time Since() const { return mFields.mSince; }
  /// @returns a copy of this value with another Since.
  [[nodiscard]] HeldRack WithSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSince = std::move(aValue);
    return copy;
  }

  /// No task is placed before this time, because the previous owner's authority may last until
  /// then; zero if there is nothing to wait for: the rack was released, or servers compare epochs.
  Time PlaceFrom() const { return mFields.mPlaceFrom; }
  /// @returns a copy of this value with another PlaceFrom.
  [[nodiscard]] HeldRack WithPlaceFrom(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPlaceFrom = std::move(aValue);
    return copy;
  }

  /// When this node began to hand the rack off; zero if it keeps the rack.
  Time ReleasingSince() const { return mFields.mReleasingSince; }
  /// @returns a copy of this value with another ReleasingSince.
  [[nodiscard]] HeldRack WithReleasingSince(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleasingSince = std::move(aValue);
    return copy;
  }

  /// When the release was last appended to the log; zero before the first time.
  Time ReleaseSent() const { return mFields.mReleaseSent; }
  /// @returns a copy of this value with another ReleaseSent.
  [[nodiscard]] HeldRack WithReleaseSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mReleaseSent = std::move(aValue);
    return copy;
  }

  /// When a backend server rejected this epoch because of a higher one; zero if none did.
  Time SupersededAt() const { return mFields.mSupersededAt; }
  /// @returns a copy of this value with another SupersededAt.
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
