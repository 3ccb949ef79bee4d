#pragma once

#include <cstdint>
#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/ClaimVerdict.h"

namespace by {

struct ClaimsFold;
class ClaimRow;
class RequestClaims;

/// Applies the claims of one record in order: the first claim for a team and label counts, and only
/// the request that holds a claim may release it.
/// @param aAt when the platform took the record.
void
ApplyRequestClaims(ClaimsFold& aFold, const RequestClaims& aClaims, Time aAt);

/// Drops claims that the platform took before a point in time.
/// @param aBefore derived from log time alone, so that every node drops the same claims.
void
RemoveClaimsBefore(ClaimsFold& aFold, Time aBefore);

/// Takes a claim over from an image, whose claims come in any order of time.
void
RestoreClaim(ClaimsFold& aFold, const ClaimRow& aRow);

/// Finds the claim on a team's label.
/// @returns the claim, or null where nobody holds it.
const ClaimRow*
FindClaim(const ClaimsFold& aFold, const TeamId& aTeam, const std::string& aLabel);

/// Says how a request stands to the claim on its label.
/// @param aDigest the hash of what the request asks for.
ClaimVerdict
EvaluateClaim(const ClaimsFold& aFold,
              const TeamId& aTeam,
              const std::string& aLabel,
              const RequestId& aRequest,
              std::uint64_t aDigest);

} // namespace by
