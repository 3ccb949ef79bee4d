#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Time has passed; drives all timers of the entry node.
class ClockTick
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Sequence number of the tick.
    std::uint64_t mNumber{ 0 };
    /// Longest time that an event has waited for the control thread since the previous tick.
    Time mQueueDelay{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  ClockTick() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<ClockTick> Create(Fields aFields) { return ClockTick(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Sequence number of the tick.
  std::uint64_t Number() const { return mFields.mNumber; }
  /// @returns a copy of this value with another Number.
  [[nodiscard]] ClockTick WithNumber(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNumber = std::move(aValue);
    return copy;
  }

  /// Longest time that an event has waited for the control thread since the previous tick.
  Time QueueDelay() const { return mFields.mQueueDelay; }
  /// @returns a copy of this value with another QueueDelay.
  [[nodiscard]] ClockTick WithQueueDelay(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mQueueDelay = std::move(aValue);
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
