#pragma once

#include <cstdint>
#include <string_view>

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

/// @returns the decision as a text for log lines.
constexpr std::string_view
ToString(KeyCheck aCheck)
{
  switch (aCheck) {
    case KeyCheck::Passed:
      return "key accepted";
    case KeyCheck::Unknown:
      return "unknown key";
    case KeyCheck::Unconfirmed:
      return "configuration not confirmed";
  }
  return "unknown";
}

} // namespace by::detail
