#pragma once

#include <compare>
#include <cstddef>
#include <string>

#include "by_core/Identifier.h"

namespace by {

/// A key of a team.
struct TeamKey
{
  /// The hash of the key, by which it is found.
  std::size_t mHash{ 0 };
  std::string mKey;
  /// The team; empty for a key that several teams hold, which identifies none of them.
  TeamId mTeam;

  friend bool operator==(const TeamKey&, const TeamKey&) = default;
  friend auto operator<=>(const TeamKey&, const TeamKey&) = default;
};

} // namespace by
