#pragma once

#include <cstdint>

namespace by {

/// How urgent a job is with respect to its objective; lower values are placed first.
enum class Urgency : std::uint8_t
{
  /// The objective has not passed.
  OnTime,
  /// The objective has passed.
  Late,
  /// The job is so late that finishing it has no value left; it is placed last but still done.
  Overdue,
};

} // namespace by
