#pragma once

#include <cstdint>

namespace by {

/// What finishing a job is still worth; lower comes first.
enum class Urgency : std::uint8_t
{
  /// It can still meet its objective.
  OnTime,
  /// It will be late.
  Late,
  /// It is so late that it is worth nothing more; it is still done.
  Overdue,
};

} // namespace by
