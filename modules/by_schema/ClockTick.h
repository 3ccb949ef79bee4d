#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Time has passed.
class ClockTick
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Counts the ticks.
    std::uint64_t mNumber{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  ClockTick() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<ClockTick> Create(Fields aFields) { return ClockTick(std::move(aFields)); }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Counts the ticks.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns this value with another Number.
  [[nodiscard]] ClockTick WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  friend bool operator==(const ClockTick&, const ClockTick&) = default;
  friend auto operator<=>(const ClockTick&, const ClockTick&) = default;

private:
  explicit ClockTick(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
