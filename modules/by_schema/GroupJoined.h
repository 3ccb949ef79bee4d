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

/// The group answered.
class GroupJoined
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// How it ended.
    StoreOutcome mOutcome{};
    /// The generation.
    std::uint64_t mGeneration{ 0 };
    /// Whether the cell is given to this member.
    bool mElected{ false };
    /// When the call was sent.
    Time mSent{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  GroupJoined() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<GroupJoined> Create(Fields aFields)
  {
    return GroupJoined(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// How it ended.
  StoreOutcome Outcome() const { return mFields.mOutcome; }
  /// @returns this value with another Outcome.
  [[nodiscard]] GroupJoined WithOutcome(StoreOutcome aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutcome = std::move(aValue);
    return copy;
  }

  /// The generation.
  std::uint64_t Generation() const { return mFields.mGeneration; }
  /// @returns this value with another Generation.
  [[nodiscard]] GroupJoined WithGeneration(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mGeneration = std::move(aValue);
    return copy;
  }

  /// Whether the cell is given to this member.
  bool Elected() const { return mFields.mElected; }
  /// @returns this value with another Elected.
  [[nodiscard]] GroupJoined WithElected(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mElected = std::move(aValue);
    return copy;
  }

  /// When the call was sent.
  Time Sent() const { return mFields.mSent; }
  /// @returns this value with another Sent.
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
