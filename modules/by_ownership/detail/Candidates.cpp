#include "by_ownership/detail/Candidates.h"

#include "by_log_state/LogState.h"
#include "by_membership/LiveMembers.h"
#include "by_membership/Membership.h"
#include "by_membership/Rendezvous.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/detail/OwnershipLimits.h"

namespace by::detail {

namespace {

bool
HasCaughtUp(const Member& aMember, const OwnershipContext& aContext)
{
  const bool readsLog = aMember.LogReadAge() <= aContext.mSettings->SuspectAfter() * 2;
  return readsLog && aMember.AppliedOffset() + kMaxCandidateLag >= aContext.mLogState->mNextOffset;
}

void
AddCandidate(Candidates& aCandidates, const NodeId& aNode, const std::string& aRegion)
{
  aCandidates.mAll.push_back(aNode);
  aCandidates.mByRegion[aRegion].push_back(aNode);
}

std::string
OwnRegion(const OwnershipContext& aContext)
{
  if (!aContext.mRegion.empty()) {
    return aContext.mRegion;
  }
  const auto* self = FindMember(*aContext.mMembership, aContext.mSelf);
  return self == nullptr ? std::string() : self->Region();
}

std::string
RegionOfRack(const Membership& aMembership, const RackId& aRack)
{
  const auto it = aMembership.mRacks.find(aRack);
  if (it == aMembership.mRacks.end() || it->second.empty()) {
    return {};
  }
  return aMembership.mVms.at(it->second.front()).Description().Region();
}

} // namespace

Candidates
FindCandidates(const OwnershipContext& aContext, Time aSteadyFor, Time aNow)
{
  Candidates candidates;
  for (const auto& member : LiveMembers(*aContext.mMembership, *aContext.mSettings, aNow)) {
    const bool steady = aNow - member.SteadySince() >= aSteadyFor;
    if (member.Node() != aContext.mSelf && member.Ready() && steady &&
        HasCaughtUp(member, aContext)) {
      AddCandidate(candidates, member.Node(), member.Region());
    }
  }
  if (!aContext.mDraining && aContext.mLogFresh) {
    AddCandidate(candidates, aContext.mSelf, OwnRegion(aContext));
  }
  return candidates;
}

NodeId
ChooseOwner(const Candidates& aCandidates, const OwnershipContext& aContext, const RackId& aRack)
{
  const auto it = aCandidates.mByRegion.find(RegionOfRack(*aContext.mMembership, aRack));
  const bool local = it != aCandidates.mByRegion.end();
  return RendezvousOwner(local ? it->second : aCandidates.mAll, aRack.Text());
}

} // namespace by::detail
