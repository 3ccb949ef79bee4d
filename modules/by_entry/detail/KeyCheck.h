#pragma once

#include <cstdint>

namespace by::detail {

/// What a node decides about the key of a call.
enum class KeyCheck : std::uint8_t
{
  /// The key belongs to a team, or the queue needs none.
  Passed,
  /// The key is missing or belongs to no team.
  Unknown,
  /// The configuration may be out of date, so that the key cannot be judged.
  Unconfirmed,
};

} // namespace by::detail
