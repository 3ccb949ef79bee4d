#include "by_sharing/TeamPolicies.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

#include "by_placement/ResourceMath.h"
#include "by_sharing/TeamQuota.h"
#include "by_sharing/TeamShares.h"

namespace by {

namespace {

/// The largest weight that is distinguished, so that sums over some hundred teams, multiplied by an
/// amount of resources, fit into 128 bits.
constexpr std::int64_t kMaxWeight = 1'000'000'000;

/// @returns a quota as an allotment, in which an amount without a limit is the largest number.
Resources
AllotmentOf(const Resources& aQuota)
{
  auto amounts = AmountsOf(aQuota);
  for (auto& amount : amounts) {
    amount = amount <= 0 ? kUnlimitedAmount : amount;
  }
  return FromAmounts(amounts);
}

} // namespace

void
SetTeamPolicies(TeamTable& aTable, const std::vector<TeamPolicy>& aTeams)
{
  absl::erase_if(aTable.mRows, [](const auto& aEntry) {
    return aEntry.second.Used() == Resources() && aEntry.second.UsedByRequests() == Resources();
  });
  for (auto& [team, row] : aTable.mRows) {
    row = row.WithShare(1).WithAllotment(AllotmentOf({}));
  }
  absl::flat_hash_set<TeamId> configured;
  for (const auto& team : aTeams) {
    if (!configured.insert(team.Name()).second) {
      continue;
    }
    auto fields = TeamOf(aTable, team.Name()).ToFields();
    fields.mShare = std::clamp<std::int64_t>(team.Weight(), 1, kMaxWeight);
    fields.mAllotment = AllotmentOf(team.Quota());
    aTable.mRows.insert_or_assign(team.Name(), TeamRow::Create(std::move(fields)).value());
  }
  aTable.mShareSum = 0;
  for (const auto& [team, row] : aTable.mRows) {
    aTable.mShareSum += row.Share();
  }
}

const TeamRow*
FindTeam(const TeamTable& aTable, const TeamId& aTeam)
{
  const auto it = aTable.mRows.find(aTeam);
  return it == aTable.mRows.end() ? nullptr : &it->second;
}

std::int64_t
WeightOf(const TeamTable& aTable, const TeamId& aTeam)
{
  const auto* row = FindTeam(aTable, aTeam);
  return row == nullptr ? 1 : row->Share();
}

} // namespace by
