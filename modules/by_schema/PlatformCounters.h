#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace by {

/// Counters of the platform stand-in.
class PlatformCounters
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Lowest offset that is still stored.
    std::uint64_t mFirstAvailable{ 0 };
    /// Offset of the next record.
    std::uint64_t mNextOffset{ 0 };
    /// Number of appends that were stored.
    std::int64_t mAppends{ 0 };
    /// Number of appends that were refused because of the rate limit.
    std::int64_t mRefused{ 0 };
    /// Number of appends that were stored and not answered.
    std::int64_t mLostAnswers{ 0 };
    /// Number of calls during an outage.
    std::int64_t mOutageCalls{ 0 };

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  PlatformCounters() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<PlatformCounters> Create(Fields aFields)
  {
    return PlatformCounters(std::move(aFields));
  }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Lowest offset that is still stored.
  std::uint64_t FirstAvailable() const { return mFields.mFirstAvailable; }
  /// @returns a copy of this value with another FirstAvailable.
  [[nodiscard]] PlatformCounters WithFirstAvailable(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mFirstAvailable = std::move(aValue);
    return copy;
  }

  /// Offset of the next record.
  std::uint64_t NextOffset() const { return mFields.mNextOffset; }
  /// @returns a copy of this value with another NextOffset.
  [[nodiscard]] PlatformCounters WithNextOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextOffset = std::move(aValue);
    return copy;
  }

  /// Number of appends that were stored.
  std::int64_t Appends() const { return mFields.mAppends; }
  /// @returns a copy of this value with another Appends.
  [[nodiscard]] PlatformCounters WithAppends(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mAppends = std::move(aValue);
    return copy;
  }

  /// Number of appends that were refused because of the rate limit.
  std::int64_t Refused() const { return mFields.mRefused; }
  /// @returns a copy of this value with another Refused.
  [[nodiscard]] PlatformCounters WithRefused(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mRefused = std::move(aValue);
    return copy;
  }

  /// Number of appends that were stored and not answered.
  std::int64_t LostAnswers() const { return mFields.mLostAnswers; }
  /// @returns a copy of this value with another LostAnswers.
  [[nodiscard]] PlatformCounters WithLostAnswers(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mLostAnswers = std::move(aValue);
    return copy;
  }

  /// Number of calls during an outage.
  std::int64_t OutageCalls() const { return mFields.mOutageCalls; }
  /// @returns a copy of this value with another OutageCalls.
  [[nodiscard]] PlatformCounters WithOutageCalls(std::int64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mOutageCalls = std::move(aValue);
    return copy;
  }

  friend bool operator==(const PlatformCounters&, const PlatformCounters&) = default;
  friend auto operator<=>(const PlatformCounters&, const PlatformCounters&) = default;

private:
  explicit PlatformCounters(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
