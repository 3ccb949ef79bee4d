#pragma once

#include <compare>
#include <string>
#include <utility>

#include "by_core/Identifier.h"

namespace by {

/// Identifies a kind of work of one team.
struct KindKey
{
  /// The team that submits the work.
  TeamId mTeam;
  /// The kind of work, as named by the team.
  std::string mKind;

  friend bool operator==(const KindKey&, const KindKey&) = default;
  friend auto operator<=>(const KindKey&, const KindKey&) = default;

  /// Supports hashing in absl containers.
  template<class H>
  friend H AbslHashValue(H aState, const KindKey& aKey)
  {
    return H::combine(std::move(aState), aKey.mTeam, aKey.mKind);
  }
};

} // namespace by
