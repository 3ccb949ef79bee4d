#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Starts or stops to follow the registry of workers.
class WatchWorkers
{
public:
  /// The fields by name, for Create().
  struct Fields
  {
    /// Whether to follow it.
    bool mFollow{ false };
    /// Pause after a change, so that one read brings many.
    Time mPause{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// The value with every field at its default.
  WatchWorkers() = default;

  /// Builds a value from its fields.
  /// @returns the value, or InvalidArgument naming the field that is out of its bounds.
  static absl::StatusOr<WatchWorkers> Create(Fields aFields)
  {
    return WatchWorkers(std::move(aFields));
  }

  /// Copies the fields, to build a changed value from them.
  Fields ToFields() const { return mFields; }

  /// Whether to follow it.
  bool Follow() const { return mFields.mFollow; }
  /// @returns this value with another Follow.
  [[nodiscard]] WatchWorkers WithFollow(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mFollow = std::move(aValue);
    return copy;
  }

  /// Pause after a change, so that one read brings many.
  Time Pause() const { return mFields.mPause; }
  /// @returns this value with another Pause.
  [[nodiscard]] WatchWorkers WithPause(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mPause = std::move(aValue);
    return copy;
  }

  friend bool operator==(const WatchWorkers&, const WatchWorkers&) = default;
  friend auto operator<=>(const WatchWorkers&, const WatchWorkers&) = default;

private:
  explicit WatchWorkers(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
