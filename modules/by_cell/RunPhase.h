#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// How much is known of a run that takes room on a worker.
enum class RunPhase : std::uint8_t
{
  /// Its assignment is not stored yet, so it was not ordered.
  Planned,
  /// An earlier owner stored its assignment; whether it was ordered is not known.
  Inherited,
  /// It was ordered, and the worker has not confirmed it.
  Ordered,
  /// The worker confirmed or listed it.
  Confirmed,
};

/// @returns the phase in a word for log lines.
constexpr std::string_view
ToString(RunPhase aPhase)
{
  switch (aPhase) {
    case RunPhase::Planned:
      return "planned";
    case RunPhase::Inherited:
      return "inherited";
    case RunPhase::Ordered:
      return "ordered";
    case RunPhase::Confirmed:
      return "confirmed";
  }
  return "unknown";
}

} // namespace by
