#include "by_entry/detail/TeamAdmission.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/TeamRates.h"
#include "by_membership/Rendezvous.h"
#include "by_queueing/TeamRate.h"

namespace by::detail {

namespace {

/// What a heartbeat says of a team applies for four intervals of heartbeats. A node that no longer
/// hears the owner forwards everything rather than refuse what capacity may be free for.
constexpr Time kTeamLoadTrust = Time::FromMilliseconds(2000);

} // namespace

void
TakeTeamLoads(EntryState& aState, const LinkHeartbeat& aHeartbeat, Time aNow)
{
  auto& limits = aState.mTeamLimits;
  limits.mHeardAt = aNow;
  auto earlier = std::exchange(limits.mTeams, {});
  for (const auto& load : aHeartbeat.TeamLoads()) {
    const auto known = earlier.find(load.Team());
    auto& row = limits.mTeams[load.Team()];
    if (known != earlier.end()) {
      row = known->second;
    } else {
      // A node may see few submissions of a team. If each began with the same error, all nodes
      // would forward their first one, or all would refuse it.
      const auto start =
        RendezvousWeight(NodeId(aState.mSettings.Node()), load.Team().Text()) % kAllPermille;
      row.mCredit = static_cast<std::int64_t>(start);
      row.mRefusals = start;
    }
    row.mAdmittedPermille = load.AdmittedPermille();
  }
}

std::optional<Time>
ThrottleSubmission(EntryState& aState, const OpenCall& aCall, Time aNow, Effects& aOut)
{
  const auto& request = aCall.mRequest;
  if (request.Kind() != JobCallKind::Submit || aCall.mPossibleRuns > 0 ||
      aState.mPhase == OwnerPhase::Owner) {
    return std::nullopt;
  }
  const auto age = aNow - aState.mTeamLimits.mHeardAt;
  const auto limited = aState.mTeamLimits.mTeams.find(request.Team());
  if (limited == aState.mTeamLimits.mTeams.end() || age >= kTeamLoadTrust) {
    return std::nullopt;
  }
  auto& row = limited->second;
  if (ForwardsNext(row.mCredit, row.mAdmittedPermille)) {
    return std::nullopt;
  }
  const auto delay = ReturnDelay(RefillTimeOfRefused(row.mAdmittedPermille), row.mRefusals++);
  if (const auto unlogged = CountForLog(row.mLog, aNow)) {
    Log(aOut,
        "call.refused",
        request.Job(),
        absl::StrCat("reason=team over rate team=",
                     request.Team().Text(),
                     " admitted_permille=",
                     row.mAdmittedPermille,
                     " age_ms=",
                     age.Milliseconds(),
                     " owner_epoch=",
                     aState.mOwner->Epoch(),
                     " retry_after_ms=",
                     delay.Milliseconds(),
                     " unlogged=",
                     *unlogged));
  }
  return delay;
}

} // namespace by::detail
