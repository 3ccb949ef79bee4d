#pragma once

#include <cstdint>
#include <string>

namespace by {

/// Names drawn for one HTTP call before it is routed.
struct CallNames
{
  /// 32 hexadecimal digits: the id of a new request, or a free name for an operator's call.
  std::string mDrawn;
  /// Matches the reply to an operator's call.
  std::uint64_t mCall{ 0 };
};

} // namespace by
