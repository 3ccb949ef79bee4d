#pragma once

#include <memory>
#include <string>

#include "by_schema/TeamTokens.h"

namespace by {

/// Whose bearer tokens are let in.
struct HttpAccess
{
  /// The token of the provider's operators.
  std::string mOperatorToken;
  /// The tokens of teams; null until the node has a configuration.
  std::shared_ptr<const TeamTokens> mTeams;
};

} // namespace by
