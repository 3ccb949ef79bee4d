#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Identifier.h"

namespace by {

/// Lets a gang start, or releases its reservations; the first valid decision of a round counts.
class GangDecision
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Identifier of the intent.
    IntentId mIntent{};
    /// Round of reservations, from 1.
    std::uint64_t mRound{ 0 };
    /// Whether all tasks start now; otherwise all reservations are released.
    bool mStart{ false };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  GangDecision() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<GangDecision> Create(Fields aFields)
  {
    return GangDecision(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Identifier of the intent.
  const IntentId& Intent() const { return mFields.mIntent; }
  /// @returns a copy of this value with another Intent.
  [[nodiscard]] GangDecision WithIntent(IntentId aValue) const
  {
    auto copy = *this;
    copy.mFields.mIntent = std::move(aValue);
    return copy;
  }

  /// Round of reservations, from 1.
  std::uint64_t Round() const { return mFields.mRound; }
  /// @returns a copy of this value with another Round.
  [[nodiscard]] GangDecision WithRound(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRound = std::move(aValue);
    return copy;
  }

  /// Whether all tasks start now; otherwise all reservations are released.
  bool Start() const { return mFields.mStart; }
  /// @returns a copy of this value with another Start.
  [[nodiscard]] GangDecision WithStart(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mStart = std::move(aValue);
    return copy;
  }

  friend bool operator==(const GangDecision&, const GangDecision&) = default;
  friend auto operator<=>(const GangDecision&, const GangDecision&) = default;

private:
  explicit GangDecision(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
