#include "by_ownership/detail/LogAuthority.h"

#include <algorithm>
#include <optional>

#include "by_log_state/LogState.h"
#include "by_membership/Membership.h"
#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_schema/ClusterSettings.h"

namespace by::detail {

namespace {

/// @returns the latest time at which no other node had read more of the log than this one; nothing
///          if one has, or has not been heard from. Each heartbeat is assumed to have been in
///          transit for the suspicion timeout.
std::optional<Time>
NoPeerAheadUntil(const OwnershipContext& aContext)
{
  std::optional<Time> until;
  for (const auto& [node, member] : aContext.mMembership->mMembers) {
    if (node == aContext.mSelf) {
      continue;
    }
    if (member.Incarnation() == 0 || member.AppliedOffset() > aContext.mLogState->mNextOffset) {
      return std::nullopt;
    }
    const auto sent = member.LastHeard() - aContext.mSettings->SuspectAfter();
    until = std::min(until.value_or(sent), sent);
  }
  return until;
}

} // namespace

void
UpdateLogAuthority(Ownership& aOwnership, const OwnershipContext& aContext)
{
  if (aContext.mLogReadAt == Time()) {
    return;
  }
  const auto& settings = *aContext.mSettings;
  const auto lastKnownCurrent =
    std::max(aContext.mLogReadAt, NoPeerAheadUntil(aContext).value_or(Time()));
  aOwnership.mLogAuthorityUntil = lastKnownCurrent + settings.LeaseTtl() - settings.ClockDrift();
}

} // namespace by::detail
