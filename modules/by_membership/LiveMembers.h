#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/MemberStatus.h"

namespace by {

class ClusterSettings;
class Member;
struct Membership;

/// Says how a member stands.
MemberStatus
MemberStatusOf(const Member& aMember, const ClusterSettings& aSettings, Time aNow);

/// Lists the other entry nodes that were heard within the suspicion bound and are not leaving.
std::vector<Member>
LiveMembers(const Membership& aMembership, const ClusterSettings& aSettings, Time aNow);

/// Finds another entry node.
/// @returns the member, or null for one that was neither heard nor listed.
const Member*
FindMember(const Membership& aMembership, const NodeId& aNode);

} // namespace by
