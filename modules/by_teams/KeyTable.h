#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "by_core/Identifier.h"
#include "by_teams/TeamKey.h"

namespace by {

class ClusterConfig;

/// Longest key that is accepted. Keys of configurations have some 20 characters.
inline constexpr std::size_t kMaxKeySize = 128;

/// The keys of one version of the configuration.
class KeyTable
{
public:
  KeyTable() = default;

  /// Collects the keys of all teams. Keys that are empty or too long are left out; the keys of a
  /// team that is listed twice count together; a key that several teams hold identifies none.
  static KeyTable Create(const ClusterConfig& aConfig);

  /// @returns whether callers need a key, because the configuration has teams.
  bool IsRequired() const { return mIsRequired; }
  /// @returns the version of the configuration.
  std::uint64_t Version() const { return mVersion; }
  /// @returns the team that a key belongs to; empty for an unknown key.
  std::optional<TeamId> TeamOf(std::string_view aKey) const;
  /// @returns the number of keys that several teams hold.
  std::size_t CountAmbiguousKeys() const;
  /// @returns the teams that hold a key which another team holds too, in order of their names.
  const std::vector<TeamId>& TeamsWithSharedKeys() const { return mTeamsWithSharedKeys; }
  /// @returns the number of keys that identify a team.
  std::size_t CountKeys() const { return mKeys.size() - CountAmbiguousKeys(); }

  friend bool operator==(const KeyTable&, const KeyTable&) = default;
  friend auto operator<=>(const KeyTable&, const KeyTable&) = default;

private:
  bool mIsRequired{ false };
  std::uint64_t mVersion{ 0 };
  /// Ordered by hash; each key once.
  std::vector<TeamKey> mKeys;
  std::vector<TeamId> mTeamsWithSharedKeys;
};

} // namespace by
