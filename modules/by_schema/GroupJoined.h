#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/StoreOutcome.h"

namespace by {

/// The store answered a JoinGroup call.
class GroupJoined
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Outcome of the call.
    StoreOutcome mOutcome{};
    /// Generation of the group; it changes with the set of members.
    std::uint64_t mGeneration{ 0 };
    /// Whether the store elected this member to own the cell.
    bool mElected{ false };
    /// When the call was sent.
    Time mSent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  GroupJoined() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<GroupJoined> Create(Fields aFields)
  {
    return GroupJoined(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Outcome of the call.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns a copy of this value with another Outcome.
  [[nodiscard]] GroupJoined WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// Generation of the group; it changes with the set of members.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns a copy of this value with another Generation.
  [[nodiscard]] GroupJoined WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Whether the store elected this member to own the cell.
  bool Elected() const { return mFields.mElected; }
  /// @returns a copy of this value with another Elected.
  [[nodiscard]] GroupJoined WithElected(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mElected = std::move(aValue);
    return copy;
  }

  /// When the call was sent.
  Time Sent() const { return mFields.mSent; }
  /// @returns a copy of this value with another Sent.
  [[nodiscard]] GroupJoined WithSent(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mSent = std::move(aValue);
    return copy;
  }

  friend bool operator==(const GroupJoined&, const GroupJoined&) = default;
  friend auto operator<=>(const GroupJoined&, const GroupJoined&) = default;

private:
  explicit GroupJoined(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
