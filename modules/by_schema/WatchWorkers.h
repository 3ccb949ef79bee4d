#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"

namespace by {

/// Starts or stops following the registry of workers.
class WatchWorkers
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Whether to follow the registry.
    bool mFollow{ false };
    /// Delay after a change before the next read, so that one read returns many changes.
    Time mPause{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  WatchWorkers() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<WatchWorkers> Create(Fields aFields)
  {
    return WatchWorkers(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Whether to follow the registry.
  bool Follow() const { return mFields.mFollow; }
  /// @returns a copy of this value with another Follow.
  [[nodiscard]] WatchWorkers WithFollow(bool aValue) const
  {
    auto copy = *this;
    copy.mFields.mFollow = std::move(aValue);
    return copy;
  }

  /// Delay after a change before the next read, so that one read returns many changes.
  Time Pause() const { return mFields.mPause; }
  /// @returns a copy of this value with another Pause.
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
