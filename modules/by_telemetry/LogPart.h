#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace by {

/// The part of the process that a log line is about.
enum class LogPart : std::uint8_t
{
  /// The process itself: start, stop, settings.
  Node,
  /// Callers and operators.
  Http,
  /// Other entry nodes.
  Wire,
  /// The platform's log and list of VMs.
  Platform,
  /// Backend servers.
  Backend,
  /// Racks, epochs and leases.
  Ownership,
  /// The configuration in force.
  Config,
  /// Intents and their tasks.
  Intents,
  /// Callers' requests.
  Requests,
};

/// How many parts there are.
constexpr std::size_t kLogParts = 9;

/// @returns the prefix of the part's log lines.
constexpr std::string_view
ToString(LogPart aPart)
{
  switch (aPart) {
    case LogPart::Node:
      return "node";
    case LogPart::Http:
      return "http";
    case LogPart::Wire:
      return "wire";
    case LogPart::Platform:
      return "platform";
    case LogPart::Backend:
      return "backend";
    case LogPart::Ownership:
      return "ownership";
    case LogPart::Config:
      return "config";
    case LogPart::Intents:
      return "intents";
    case LogPart::Requests:
      return "requests";
  }
  return "unknown";
}

} // namespace by
