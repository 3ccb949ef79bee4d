#include "by_teams/KeyTable.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "absl/hash/hash.h"

#include "by_core/ConstantTime.h"
#include "by_schema/ClusterConfig.h"

namespace by {

namespace {

std::size_t
HashOf(std::string_view aKey)
{
  return absl::Hash<std::string_view>()(aKey);
}

} // namespace

KeyTable
KeyTable::Create(const ClusterConfig& aConfig)
{
  std::map<std::string, TeamId> teams;
  std::set<TeamId> sharing;
  for (const auto& team : aConfig.Teams()) {
    for (const auto& key : team.Keys()) {
      if (key.empty() || key.size() > kMaxKeySize) {
        continue;
      }
      const auto [it, isNew] = teams.try_emplace(key, team.Name());
      if (!isNew && it->second != team.Name()) {
        sharing.insert({ it->second, team.Name() });
        it->second = TeamId();
      }
    }
  }
  KeyTable table;
  table.mIsRequired = !aConfig.Teams().empty();
  table.mVersion = aConfig.Version();
  table.mKeys.reserve(teams.size());
  for (const auto& [key, team] : teams) {
    table.mKeys.push_back({ .mHash = HashOf(key), .mKey = key, .mTeam = team });
  }
  std::sort(table.mKeys.begin(), table.mKeys.end());
  // A key of three teams has lost its first team when it comes to the third.
  sharing.erase(TeamId());
  table.mTeamsWithSharedKeys.assign(sharing.begin(), sharing.end());
  return table;
}

std::optional<TeamId>
KeyTable::TeamOf(std::string_view aKey) const
{
  if (aKey.empty() || aKey.size() > kMaxKeySize) {
    return std::nullopt;
  }
  const auto hash = HashOf(aKey);
  const auto first =
    std::lower_bound(mKeys.begin(), mKeys.end(), hash, [](const TeamKey& aLeft, std::size_t aHash) {
      return aLeft.mHash < aHash;
    });
  std::optional<TeamId> found;
  for (auto it = first; it != mKeys.end() && it->mHash == hash; ++it) {
    if (EqualInConstantTime(it->mKey, aKey) && !it->mTeam.IsEmpty()) {
      found = it->mTeam;
    }
  }
  return found;
}

std::size_t
KeyTable::CountAmbiguousKeys() const
{
  return static_cast<std::size_t>(std::count_if(
    mKeys.begin(), mKeys.end(), [](const TeamKey& aKey) { return aKey.mTeam.IsEmpty(); }));
}

} // namespace by
