#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace by {

/// A point in time or a span of it, in whole milliseconds.
///
/// Decision code never reads a clock: time reaches it as a value of this type.
class Time
{
public:
  constexpr Time() = default;

  /// @param aMilliseconds milliseconds since the clock's origin, or the length of a span.
  static constexpr Time FromMilliseconds(std::int64_t aMilliseconds) { return Time(aMilliseconds); }

  /// @param aSeconds whole seconds.
  static constexpr Time FromSeconds(std::int64_t aSeconds) { return Time(aSeconds * 1000); }

  /// The latest time; stands for "never".
  static constexpr Time Never() { return Time(std::numeric_limits<std::int64_t>::max() / 4); }

  /// @returns the value in milliseconds.
  constexpr std::int64_t Milliseconds() const { return mMilliseconds; }

  friend constexpr bool operator==(const Time&, const Time&) = default;
  friend constexpr auto operator<=>(const Time&, const Time&) = default;

  friend constexpr Time operator+(Time aLeft, Time aRight)
  {
    return Time(aLeft.mMilliseconds + aRight.mMilliseconds);
  }
  friend constexpr Time operator-(Time aLeft, Time aRight)
  {
    return Time(aLeft.mMilliseconds - aRight.mMilliseconds);
  }
  friend constexpr Time operator*(Time aLeft, std::int64_t aFactor)
  {
    return Time(aLeft.mMilliseconds * aFactor);
  }
  friend constexpr Time operator/(Time aLeft, std::int64_t aDivisor)
  {
    return Time(aLeft.mMilliseconds / aDivisor);
  }

private:
  explicit constexpr Time(std::int64_t aMilliseconds)
    : mMilliseconds(aMilliseconds)
  {
  }

  std::int64_t mMilliseconds{ 0 };
};

} // namespace by
