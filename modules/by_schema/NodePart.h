#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace by {

/// Component of a node that writes a log line.
enum class NodePart : std::uint8_t
{
  Node = 0,
  Ownership = 1,
  Membership = 2,
  Config = 3,
  Intents = 4,
  Requests = 5,
  Log = 6,
};

/// Returns the text of a value in settings and messages.
/// @returns the text, or "unknown" if the enum declares no such value.
constexpr std::string_view
ToString(NodePart aValue)
{
  switch (aValue) {
    case NodePart::Node:
      return "node";
    case NodePart::Ownership:
      return "ownership";
    case NodePart::Membership:
      return "membership";
    case NodePart::Config:
      return "config";
    case NodePart::Intents:
      return "intents";
    case NodePart::Requests:
      return "requests";
    case NodePart::Log:
      return "log";
  }
  return "unknown";
}

/// Parses the text of a value, as ToString() returns it.
/// @returns the value, or InvalidArgument if no value has this text.
inline absl::StatusOr<NodePart>
ParseNodePart(std::string_view aText)
{
  if (aText == "node") {
    return NodePart::Node;
  }
  if (aText == "ownership") {
    return NodePart::Ownership;
  }
  if (aText == "membership") {
    return NodePart::Membership;
  }
  if (aText == "config") {
    return NodePart::Config;
  }
  if (aText == "intents") {
    return NodePart::Intents;
  }
  if (aText == "requests") {
    return NodePart::Requests;
  }
  if (aText == "log") {
    return NodePart::Log;
  }
  return absl::InvalidArgumentError(
    absl::StrCat("'",
                 std::string(aText),
                 "' is not one of node, ownership, membership, config, intents, requests, log"));
}

} // namespace by
