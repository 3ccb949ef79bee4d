#pragma once

#include <string>

namespace by {

/// What the tool takes from its environment where an option is not given.
struct ToolEnvironment
{
  /// BERGAMOTYARD_NODE: the entry node, "ADDRESS:PORT".
  std::string mNode{};
  /// BERGAMOTYARD_TOKEN: the bearer token.
  std::string mToken{};
  /// USER: who publishes.
  std::string mUser{};
  /// The tool's version.
  std::string mVersion{};
};

} // namespace by
