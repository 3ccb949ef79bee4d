#include "by_sharing/TeamShares.h"

#include <algorithm>

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

constexpr std::int64_t kBillion = 1'000'000'000;

Resources
NoLimits()
{
  return FromAmounts({ kNoLimit, kNoLimit, kNoLimit, kNoLimit });
}

/// @returns this node's fraction of a quota; kNoLimit for resources without a quota.
Resources
AllotmentOf(const Resources& aQuota, std::int64_t aPermille)
{
  const auto quota = AmountsOf(aQuota);
  auto part = AmountsOf(Permille(aQuota, aPermille));
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    part[i] = quota[i] == 0 ? kNoLimit : part[i];
  }
  return FromAmounts(part);
}

TeamRow::Fields
NewTeam(const TeamId& aTeam)
{
  return { .mTeam = aTeam, .mShare = 1, .mAllotment = NoLimits() };
}

void
ChangeUsage(TeamTable& aTable, const TeamId& aTeam, WorkClass aClass, const Resources& aChange)
{
  auto fields = TeamOf(aTable, aTeam).ToFields();
  fields.mUsed = Plus(fields.mUsed, aChange);
  if (aClass == WorkClass::Request) {
    fields.mUsedByRequests = Plus(fields.mUsedByRequests, aChange);
  }
  aTable.mRows.insert_or_assign(aTeam, TeamRow::Create(std::move(fields)).value());
}

} // namespace

void
SetTeamShares(TeamTable& aTable, const ConfigDocument& aConfig, std::int64_t aAllotmentPermille)
{
  for (auto& [team, row] : aTable.mRows) {
    row = row.WithShare(1).WithAllotment(NoLimits());
  }
  for (const auto& team : aConfig.Teams()) {
    auto fields = TeamOf(aTable, team.Team()).ToFields();
    fields.mShare = std::max<std::int64_t>(team.Share(), 1);
    fields.mAllotment = AllotmentOf(team.RequestQuota(), aAllotmentPermille);
    aTable.mRows.insert_or_assign(team.Team(), TeamRow::Create(std::move(fields)).value());
  }
  aTable.mShareSum = 0;
  for (const auto& [team, row] : aTable.mRows) {
    aTable.mShareSum += row.Share();
  }
}

const TeamRow&
TeamOf(TeamTable& aTable, const TeamId& aTeam)
{
  const auto it = aTable.mRows.find(aTeam);
  if (it != aTable.mRows.end()) {
    return it->second;
  }
  ++aTable.mShareSum;
  return aTable.mRows.emplace(aTeam, TeamRow::Create(NewTeam(aTeam)).value()).first->second;
}

void
AddUsage(TeamTable& aTable, const TeamId& aTeam, WorkClass aClass, const Resources& aResources)
{
  ChangeUsage(aTable, aTeam, aClass, aResources);
}

void
SubtractUsage(TeamTable& aTable, const TeamId& aTeam, WorkClass aClass, const Resources& aResources)
{
  ChangeUsage(aTable, aTeam, aClass, Minus(Resources(), aResources));
}

bool
QuotaAllows(const TeamRow& aRow, WorkClass aClass, const Resources& aResources)
{
  return aClass != WorkClass::Request ||
         Fits(Plus(aRow.UsedByRequests(), aResources), aRow.Allotment());
}

bool
QuotaCanEverAllow(const TeamRow& aRow, WorkClass aClass, const Resources& aResources)
{
  return aClass != WorkClass::Request || Fits(aResources, aRow.Allotment());
}

std::int64_t
DominantShare(const TeamRow& aRow, const Resources& aTotal)
{
  const auto used = AmountsOf(aRow.Used());
  const auto total = AmountsOf(aTotal);
  std::int64_t largest = 0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (total[i] > 0) {
      largest = std::max(largest, used[i] * kBillion / total[i]);
    }
  }
  return largest / aRow.Share();
}

std::int64_t
EntitledShare(const TeamTable& aTable)
{
  return kBillion / std::max<std::int64_t>(aTable.mShareSum, 1);
}

std::int64_t
ShortWorkShareLimit(const TeamTable& aTable)
{
  const auto entitled = EntitledShare(aTable);
  return entitled + entitled / 2;
}

} // namespace by
