#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// What the owner knows of a run that holds capacity on a worker.
enum class RunPhase : std::uint8_t
{
  /// The assignment is not stored yet, so no start was sent.
  Planned,
  /// An earlier owner stored the assignment; whether it sent a start is unknown.
  Inherited,
  /// A start was sent, and the worker has not confirmed it.
  Ordered,
  /// The worker confirmed the start or reported the run.
  Confirmed,
};

/// @returns the phase as a word for log lines.
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
