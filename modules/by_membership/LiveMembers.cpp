#include "by_membership/LiveMembers.h"

#include "by_membership/Membership.h"
#include "by_schema/ClusterSettings.h"

namespace by {

MemberStatus
MemberStatusOf(const Member& aMember, const ClusterSettings& aSettings, Time aNow)
{
  if (aMember.Incarnation() == 0 || aNow - aMember.LastHeard() > aSettings.SuspectAfter()) {
    return MemberStatus::Suspected;
  }
  const bool leaving = aMember.Leaving() || aMember.ListState() == VmState::Leaving;
  return leaving ? MemberStatus::Leaving : MemberStatus::Alive;
}

std::vector<Member>
LiveMembers(const Membership& aMembership, const ClusterSettings& aSettings, Time aNow)
{
  std::vector<Member> live;
  for (const auto& [node, member] : aMembership.mMembers) {
    if (MemberStatusOf(member, aSettings, aNow) == MemberStatus::Alive) {
      live.push_back(member);
    }
  }
  return live;
}

const Member*
FindMember(const Membership& aMembership, const NodeId& aNode)
{
  const auto it = aMembership.mMembers.find(aNode);
  return it == aMembership.mMembers.end() ? nullptr : &it->second;
}

} // namespace by
