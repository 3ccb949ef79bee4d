#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// Whether a worker answers polls, and the state of its lease.
enum class WorkerHealth : std::uint8_t
{
  /// It has not answered this owner yet.
  Unseen,
  /// It answers polls, and its lease is renewed.
  Reachable,
  /// It does not answer; its lease is no longer renewed and has not expired for certain.
  LeaseExpiring,
  /// Its lease has expired for certain, so that none of its runs is active.
  LeaseExpired,
};

/// @returns the health as a word for log lines.
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
