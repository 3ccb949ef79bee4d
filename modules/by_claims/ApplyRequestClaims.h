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

/// Applies the claims of one log record in order. The first claim on a team's label is valid
/// until it is released or removed, and only the request that holds a claim may release it.
/// @param aAt the time at which the platform accepted the record.
void
ApplyRequestClaims(ClaimsFold& aFold, const RequestClaims& aClaims, Time aAt);

/// Removes claims that the platform accepted before a point in time.
/// @param aBefore derived only from log time, so that every node removes the same claims.
void
RemoveClaimsBefore(ClaimsFold& aFold, Time aBefore);

/// Restores a claim from a snapshot image, which lists claims in any order.
void
RestoreClaim(ClaimsFold& aFold, const ClaimRow& aRow);

/// Finds the claim on a team's label.
/// @returns the claim, or nullptr if the label is not claimed.
const ClaimRow*
FindClaim(const ClaimsFold& aFold, const TeamId& aTeam, const std::string& aLabel);

/// Compares a request with the claim on its label.
/// @param aDigest the hash of the request's content.
/// @returns whether the label is free, held by this request, held by an equal request, or reused
///          for a different one.
ClaimVerdict
EvaluateClaim(const ClaimsFold& aFold,
              const TeamId& aTeam,
              const std::string& aLabel,
              const RequestId& aRequest,
              std::uint64_t aDigest);

} // namespace by
