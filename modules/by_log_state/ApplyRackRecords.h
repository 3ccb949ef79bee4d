#pragma once

#include "by_core/Time.h"

namespace by {

struct RackOwners;
class RackClaim;
class RackOwner;
class RackRelease;

/// Assigns a rack to its claimant under the next epoch.
/// @param aAt when the platform accepted the record.
/// @returns false if the claim is not based on the rack's current epoch.
bool
ApplyRackClaim(RackOwners& aOwners, const RackClaim& aClaim, Time aAt);

/// Leaves a rack without an owner until its next claim.
/// @param aAt when the platform accepted the record.
/// @returns false if the rack is not owned by this process under this epoch.
bool
ApplyRackRelease(RackOwners& aOwners, const RackRelease& aRelease, Time aAt);

/// Sets the row of a rack, for example from an image.
void
PutRackOwner(RackOwners& aOwners, const RackOwner& aRow);

} // namespace by
