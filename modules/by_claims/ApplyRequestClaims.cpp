#include "by_claims/ApplyRequestClaims.h"

#include "by_claims/ClaimsFold.h"
#include "by_schema/RequestClaims.h"

namespace by {

namespace {

ClaimKey
KeyOf(const TeamId& aTeam, const std::string& aLabel)
{
  return ClaimKey::Create({ .mTeam = aTeam, .mLabel = aLabel }).value();
}

void
Release(ClaimsFold& aFold, const ClaimKey& aKey, const RequestId& aRequest)
{
  const auto it = aFold.mRows.find(aKey);
  if (it != aFold.mRows.end() && it->second.Request() == aRequest) {
    aFold.mRows.erase(it);
  }
}

ClaimRow
RowOf(const RequestClaims& aClaims, const RequestClaim& aClaim, Time aAt)
{
  return ClaimRow::Create({ .mTeam = aClaim.Team(),
                            .mLabel = aClaim.Label(),
                            .mRequest = aClaim.Request(),
                            .mNode = aClaims.Node(),
                            .mIncarnation = aClaims.Incarnation(),
                            .mDigest = aClaim.Digest(),
                            .mAt = aAt })
    .value();
}

} // namespace

void
ApplyRequestClaims(ClaimsFold& aFold, const RequestClaims& aClaims, Time aAt)
{
  for (const auto& claim : aClaims.Claims()) {
    const auto key = KeyOf(claim.Team(), claim.Label());
    if (claim.Release()) {
      Release(aFold, key, claim.Request());
      continue;
    }
    const auto row = RowOf(aClaims, claim, aAt);
    if (aFold.mRows.try_emplace(key, row).second) {
      aFold.mByAge.emplace(aAt, key);
    }
  }
}

void
RemoveClaimsBefore(ClaimsFold& aFold, Time aBefore)
{
  const auto end = aFold.mByAge.lower_bound(aBefore);
  for (auto it = aFold.mByAge.begin(); it != end; ++it) {
    const auto row = aFold.mRows.find(it->second);
    if (row != aFold.mRows.end() && row->second.At() == it->first) {
      aFold.mRows.erase(row);
    }
  }
  aFold.mByAge.erase(aFold.mByAge.begin(), end);
}

void
RestoreClaim(ClaimsFold& aFold, const ClaimRow& aRow)
{
  const auto key = KeyOf(aRow.Team(), aRow.Label());
  if (aFold.mRows.try_emplace(key, aRow).second) {
    aFold.mByAge.emplace(aRow.At(), key);
  }
}

const ClaimRow*
FindClaim(const ClaimsFold& aFold, const TeamId& aTeam, const std::string& aLabel)
{
  const auto it = aFold.mRows.find(KeyOf(aTeam, aLabel));
  return it == aFold.mRows.end() ? nullptr : &it->second;
}

ClaimVerdict
EvaluateClaim(const ClaimsFold& aFold,
              const TeamId& aTeam,
              const std::string& aLabel,
              const RequestId& aRequest,
              std::uint64_t aDigest)
{
  const auto* row = FindClaim(aFold, aTeam, aLabel);
  if (row == nullptr) {
    return ClaimVerdict::Free;
  }
  if (row->Request() == aRequest) {
    return ClaimVerdict::Held;
  }
  return row->Digest() == aDigest ? ClaimVerdict::Taken : ClaimVerdict::LabelReused;
}

} // namespace by
