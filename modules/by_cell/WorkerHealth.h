#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// Whether a worker can be reached.
enum class WorkerHealth : std::uint8_t
{
  /// It has not answered this owner yet.
  Unseen,
  /// It answers.
  Reachable,
  /// It does not answer; its lease is no longer renewed.
  LeaseExpiring,
  /// Its lease has passed for certain; what ran there is over.
  LeaseExpired,
};

/// @returns the health in a word for log lines.
constexpr std::string_view
ToString(WorkerHealth aHealth)
{
  switch (aHealth) {
    case WorkerHealth::Unseen:
      return "unseen";
    case WorkerHealth::Reachable:
      return "reachable";
    case WorkerHealth::LeaseExpiring:
      return "lapsing";
    case WorkerHealth::LeaseExpired:
      return "lapsed";
  }
  return "unknown";
}

} // namespace by
