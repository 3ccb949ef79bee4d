#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Switches that inject faults into the platform stand-in.
class PlatformSwitch
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether every call is closed without an answer and nothing is stored.
    bool mOutage{ false };
    /// Delay of every call.
    std::int64_t mSlowMs{ 0 };
    /// Every Nth append is stored, and its connection is closed without an answer; zero for none.
    std::int64_t mLoseAppendAnswers{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlatformSwitch() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlatformSwitch> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether every call is closed without an answer and nothing is stored.
  bool Outage() const { return mFields.mOutage; }
  /// @returns a copy of this value with another Outage.
  [[nodiscard]] PlatformSwitch WithOutage(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutage = std::move(aValue);
    return copy;
  }

  /// Delay of every call.
  std::int64_t SlowMs() const { return mFields.mSlowMs; }

  /// Every Nth append is stored, and its connection is closed without an answer; zero for none.
  std::int64_t LoseAppendAnswers() const { return mFields.mLoseAppendAnswers; }

  friend bool operator==(const PlatformSwitch&, const PlatformSwitch&) = default;
  friend auto operator<=>(const PlatformSwitch&, const PlatformSwitch&) = default;

private:
  explicit PlatformSwitch(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
