#pragma once

#include <cstdint>

namespace by {

/// What kind of caller speaks.
enum class CallerKind : std::uint8_t
{
  Nobody,
  Team,
  Operator,
};

} // namespace by
