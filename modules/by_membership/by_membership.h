#pragma once

/// Module by_membership
///
/// Purpose: decides which entry nodes are alive from heartbeats and the platform's VM list.
/// Dependencies: by_core, by_schema.

#include "by_membership/LiveMembers.h"
#include "by_membership/Membership.h"
#include "by_membership/Observations.h"
#include "by_membership/Rendezvous.h"
