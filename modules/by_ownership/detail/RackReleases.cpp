#include "by_ownership/detail/RackReleases.h"

#include <algorithm>

#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/detail/Candidates.h"
#include "by_ownership/detail/LeaseTables.h"
#include "by_ownership/detail/OwnershipLimits.h"

namespace by::detail {

namespace {

void
BeginRelease(Ownership& aOwnership, HeldRack& aRack, OwnershipActions& aActions, Time aNow)
{
  RevokeRackVms(aOwnership, aRack.Rack(), aActions, aNow);
  aRack = aRack.WithReleasingSince(aNow);
}

/// Checks whether a rack's release may be appended now. With lease timeouts, starts sent earlier
/// must have passed their not-after time, and the previous owner's authority must have ended. With
/// epoch fencing there is no such wait, since servers refuse starts under an older epoch.
bool
MayAppendRelease(const HeldRack& aRack, const OwnershipContext& aContext, Time aNow)
{
  const auto& settings = *aContext.mSettings;
  const bool sentRecently =
    aRack.ReleaseSent() > Time() && aNow - aRack.ReleaseSent() < RecordRetryDelay(settings);
  if (!aContext.mLogFresh || sentRecently) {
    return false;
  }
  if (settings.Fencing() == Fencing::Epoch) {
    return true;
  }
  const auto startsExpired =
    aRack.ReleasingSince() + RequestValidity(settings) + settings.ClockDrift() * 2;
  return aNow >= startsExpired && aNow >= aRack.PlaceFrom();
}

void
AppendRelease(HeldRack& aRack,
              const OwnershipContext& aContext,
              OwnershipActions& aActions,
              Time aNow)
{
  aRack = aRack.WithReleaseSent(aNow);
  aActions.mRecords.emplace_back(RackRelease::Create({ .mRack = aRack.Rack(),
                                                       .mNode = aContext.mSelf,
                                                       .mIncarnation = aContext.mIncarnation,
                                                       .mEpoch = aRack.Epoch() })
                                   .value());
}

/// Checks whether a rack is kept because the log does not show its release. This applies only where
/// servers compare epochs, where a release that took effect unseen does no harm.
bool
ShouldAbortRelease(const HeldRack& aRack, const OwnershipContext& aContext, Time aNow)
{
  const auto& settings = *aContext.mSettings;
  return !aContext.mDraining && settings.Fencing() == Fencing::Epoch &&
         aNow - aRack.ReleasingSince() >= RecordRetryDelay(settings) * 2;
}

void
AbortRelease(Ownership& aOwnership, HeldRack& aRack, Time aNow)
{
  aRack = aRack.WithReleasingSince(Time()).WithReleaseSent(Time()).WithSince(aNow);
  for (const auto& vm : aOwnership.mVmsOfRack[aRack.Rack()]) {
    auto& row = aOwnership.mLeases.at(vm);
    row = PendingAdoption(row, aNow).WithNextRequest(aNow + Time::FromMilliseconds(1));
  }
}

void
ContinueReleases(Ownership& aOwnership,
                 const OwnershipContext& aContext,
                 OwnershipActions& aActions,
                 Time aNow)
{
  for (auto& [rack, held] : aOwnership.mRacks) {
    if (held.ReleasingSince() == Time()) {
      continue;
    }
    if (ShouldAbortRelease(held, aContext, aNow)) {
      AbortRelease(aOwnership, held, aNow);
    } else if (MayAppendRelease(held, aContext, aNow)) {
      AppendRelease(held, aContext, aActions, aNow);
    }
  }
}

std::size_t
CountReleasingRacks(const Ownership& aOwnership)
{
  return static_cast<std::size_t>(
    std::count_if(aOwnership.mRacks.begin(), aOwnership.mRacks.end(), [](const auto& aEntry) {
      return aEntry.second.ReleasingSince() > Time();
    }));
}

bool
MayRebalance(const HeldRack& aRack, const OwnershipContext& aContext, Time aNow)
{
  const bool kept = aNow - aRack.Since() >= aContext.mSettings->SuspectAfter() * kMinTenureTimeouts;
  return kept && aRack.ReleasingSince() == Time() && aRack.SupersededAt() == Time();
}

/// Releases racks to the steady nodes that should own them.
void
Rebalance(Ownership& aOwnership,
          const OwnershipContext& aContext,
          OwnershipActions& aActions,
          Time aNow)
{
  auto releasing = CountReleasingRacks(aOwnership);
  const auto steadyFor = aContext.mSettings->SuspectAfter() * kSteadyTimeouts;
  const auto candidates = FindCandidates(aContext, steadyFor, aNow);
  for (auto& [rack, held] : aOwnership.mRacks) {
    if (releasing >= kMaxConcurrentReleases) {
      return;
    }
    if (MayRebalance(held, aContext, aNow) &&
        ChooseOwner(candidates, aContext, rack) != aContext.mSelf) {
      BeginRelease(aOwnership, held, aActions, aNow);
      releasing += 1;
    }
  }
}

} // namespace

void
ReleaseRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow)
{
  if (aContext.mDraining) {
    for (auto& [rack, held] : aOwnership.mRacks) {
      if (held.ReleasingSince() == Time()) {
        BeginRelease(aOwnership, held, aActions, aNow);
      }
    }
  } else if (aContext.mLogFresh) {
    Rebalance(aOwnership, aContext, aActions, aNow);
  }
  ContinueReleases(aOwnership, aContext, aActions, aNow);
}

} // namespace by::detail
