#include "by_entry/detail/GroupMembership.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"

namespace by::detail {

namespace {

/// Delay before a failed join request is retried.
constexpr Time kJoinRetryDelay = Time::FromMilliseconds(100);
/// Interval between join requests while the owner is silent: their answers show whether the group
/// has removed it.
constexpr Time kSilentJoinInterval = Time::FromMilliseconds(100);
/// The owner counts as silent once its heartbeat is late by this.
constexpr Time kLateHeartbeat = Time::FromMilliseconds(100);

std::string
MemberName(const EntryState& aState)
{
  return absl::StrCat(aState.mSettings.Node(), "/", aState.mSettings.Incarnation());
}

bool
IsOwnerSilent(const EntryState& aState, Time aNow)
{
  return aState.mPhase == OwnerPhase::Member && aState.mOwner && aState.mLinkUp &&
         aNow > aState.mOwnerHeardAt + aState.mSettings.HeartbeatInterval() + kLateHeartbeat;
}

} // namespace

void
RenewMembership(EntryState& aState, Time aNow, Effects& aOut)
{
  if (IsOwnerSilent(aState, aNow)) {
    aState.mNextJoin = std::min(aState.mNextJoin, aState.mJoinSentAt + kSilentJoinInterval);
  }
  if (aState.mJoinInFlight || aNow < aState.mNextJoin || aState.mStopping || !aState.mConfig) {
    return;
  }
  aState.mJoinInFlight = true;
  aState.mJoinSentAt = aNow;
  aState.mNextJoin = aNow + aState.mSettings.JoinInterval();
  Emit(aOut,
       JoinGroup::Create({ .mMember = MemberName(aState),
                           .mGeneration = aState.mGeneration,
                           .mMembershipTtl = aState.mSettings.MembershipTtl() })
         .value());
}

void
HandleGroupJoined(EntryState& aState, const GroupJoined& aEvent, Time aNow, Effects& aOut)
{
  aState.mJoinInFlight = false;
  if (aEvent.Outcome() != StoreOutcome::Done) {
    aState.mStoreFailedAt = aNow;
    aState.mStoreLostAt = std::min(aState.mStoreLostAt, aNow);
    aState.mNextJoin = aNow + kJoinRetryDelay;
    const bool hasExpired =
      aState.mJoinedAt > Time() && aNow > aState.mJoinedAt + aState.mSettings.MembershipTtl();
    if (hasExpired && !std::exchange(aState.mMembershipExpired, true)) {
      Log(aOut,
          "group.lost",
          MemberName(aState),
          absl::StrCat("outcome=",
                       std::string(ToString(aEvent.Outcome())),
                       " silent_ms=",
                       (aNow - aState.mJoinedAt).Milliseconds()));
    }
    return;
  }
  aState.mStoreLostAt = Time::Never();
  aState.mMembershipExpired = false;
  if (aState.mGeneration != aEvent.Generation() || aState.mElected != aEvent.Elected()) {
    Log(aOut,
        "group.changed",
        MemberName(aState),
        absl::StrCat("generation=", aEvent.Generation(), " chosen=", aEvent.Elected()));
  }
  if (aState.mGeneration != aEvent.Generation()) {
    aState.mGroupChangedAt = aNow;
  }
  aState.mGeneration = aEvent.Generation();
  aState.mElected = aEvent.Elected();
  aState.mJoinedAt = std::max(aState.mJoinedAt, aEvent.Sent());
}

} // namespace by::detail
