#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Fault that is injected into the environment of a node.
enum class SessionFault : std::uint8_t
{
  NodeDies = 0,
  NodeStarts = 1,
  LogFails = 2,
  AppendAnswersLost = 3,
  LogRecovers = 4,
  ServerDies = 5,
  VmLeaves = 6,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(SessionFault aValue)
{
  switch (aValue) {
    case SessionFault::NodeDies:
      return "node_dies";
    case SessionFault::NodeStarts:
      return "node_starts";
    case SessionFault::LogFails:
      return "log_fails";
    case SessionFault::AppendAnswersLost:
      return "append_answers_lost";
    case SessionFault::LogRecovers:
      return "log_recovers";
    case SessionFault::ServerDies:
      return "server_dies";
    case SessionFault::VmLeaves:
      return "vm_leaves";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<SessionFault>
ParseSessionFault(std::string_view aText)
{
  if (aText == "node_dies") {
    return SessionFault::NodeDies;
  }
  if (aText == "node_starts") {
    return SessionFault::NodeStarts;
  }
  if (aText == "log_fails") {
    return SessionFault::LogFails;
  }
  if (aText == "append_answers_lost") {
    return SessionFault::AppendAnswersLost;
  }
  if (aText == "log_recovers") {
    return SessionFault::LogRecovers;
  }
  if (aText == "server_dies") {
    return SessionFault::ServerDies;
  }
  if (aText == "vm_leaves") {
    return SessionFault::VmLeaves;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of node_dies, node_starts, log_fails, append_answers_lost, "
                 "log_recovers, server_dies, vm_leaves"));
}

} // namespace by
