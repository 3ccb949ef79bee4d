#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/MemberStatus.h"

namespace by {

class ClusterSettings;
class Member;
struct Membership;

/// Determines whether a member is alive, leaving or suspected to have failed.
MemberStatus
MemberStatusOf(const Member& aMember, const ClusterSettings& aSettings, Time aNow);

/// Lists the other entry nodes that were heard from within the suspicion timeout and are not
/// leaving.
std::vector<Member>
LiveMembers(const Membership& aMembership, const ClusterSettings& aSettings, Time aNow);

/// Finds another entry node by name.
/// @returns the member, or nullptr if it was neither heard from nor listed.
const Member*
FindMember(const Membership& aMembership, const NodeId& aNode);

} // namespace by
