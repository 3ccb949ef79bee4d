#include "by_cell/detail/QuotaReport.h"

#include <string>

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/TeamUsage.h"

namespace by::detail {

namespace {

/// Notes the teams with steps that exceed their quota by themselves.
void
NoteExceededTeams(PlacementPass& aPass)
{
  const auto& ready = aPass.mState.mReady;
  ReadyKey next;
  next.mInfeasible = true;
  next.mExceededTeam = TeamId(std::string(1, '\0'));
  for (auto it = ready.lower_bound(next); it != ready.end(); it = ready.lower_bound(next)) {
    aPass.mTeamsExamined[it->mExceededTeam] = true;
    next.mExceededTeam = TeamId(it->mExceededTeam.Text() + '\0');
  }
}

} // namespace

void
ReportQuotas(PlacementPass& aPass, const std::set<TeamId>& aWaiting)
{
  auto& state = aPass.mState;
  NoteExceededTeams(aPass);
  for (const auto& team : state.mTeamsAtQuota) {
    if (!aWaiting.contains(team)) {
      aPass.mTeamsExamined.try_emplace(team, false);
    }
  }
  for (const auto& [team, isHeld] : aPass.mTeamsExamined) {
    if (isHeld == state.mTeamsAtQuota.contains(team)) {
      continue;
    }
    if (isHeld) {
      state.mTeamsAtQuota.insert(team);
    } else {
      state.mTeamsAtQuota.erase(team);
    }
    Log(aPass.mOut,
        isHeld ? "team.quota_reached" : "team.quota_free",
        team.Text(),
        FormatUsage(state, team));
  }
}

} // namespace by::detail
