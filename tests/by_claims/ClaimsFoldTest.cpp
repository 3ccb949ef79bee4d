#include <CppUTest/TestHarness.h>

#include "by_claims/by_claims.h"
#include "support/LogText.h"

using namespace by;
using namespace by::test;

TEST_GROUP(ClaimsFold)
{
  ClaimsFold mFold;
  TeamId mTeam{ "arreo" };

  void Apply(const RequestClaims& aClaims, std::int64_t aAt)
  {
    ApplyRequestClaims(mFold, aClaims, Ms(aAt));
  }

  ClaimVerdict Evaluate(const std::string& aRequest, std::uint64_t aDigest = 7)
  {
    return EvaluateClaim(mFold, mTeam, "booking-1", RequestId(aRequest), aDigest);
  }
};

TEST(ClaimsFold, SecondRequestWithTheLabelDoesNotRun)
{
  Apply(ClaimRun("booking-1", "r1"), 10);
  Apply(ClaimRun("booking-1", "r2"), 11);
  CHECK(Evaluate("r1") == ClaimVerdict::Held);
  CHECK(Evaluate("r2") == ClaimVerdict::Taken);
  CHECK(Evaluate("r2", 8) == ClaimVerdict::LabelReused);
}

TEST(ClaimsFold, OtherRequestCannotReleaseTheClaim)
{
  Apply(ClaimRun("booking-1", "r1"), 10);
  Apply(ClaimRun("booking-1", "r2", true), 11);
  CHECK(Evaluate("r1") == ClaimVerdict::Held);
}

TEST(ClaimsFold, ReleasedLabelGoesToTheNextRequest)
{
  Apply(ClaimRun("booking-1", "r1"), 10);
  Apply(ClaimRun("booking-1", "r1", true), 11);
  CHECK(Evaluate("r2") == ClaimVerdict::Free);
  Apply(ClaimRun("booking-1", "r2"), 12);
  CHECK(Evaluate("r1") == ClaimVerdict::Taken);
}

TEST(ClaimsFold, OldClaimsAreRemovedAndNewerOnesKept)
{
  Apply(ClaimRun("booking-1", "r1"), 10);
  Apply(ClaimRun("booking-2", "r2"), 20);
  RemoveClaimsBefore(mFold, Ms(20));
  POINTERS_EQUAL(nullptr, FindClaim(mFold, mTeam, "booking-1"));
  CHECK(FindClaim(mFold, mTeam, "booking-2") != nullptr);
}

TEST(ClaimsFold, NewClaimAfterAReleaseIsNotRemovedByTheOldTime)
{
  Apply(ClaimRun("booking-1", "r1"), 10);
  Apply(ClaimRun("booking-1", "r1", true), 11);
  Apply(ClaimRun("booking-1", "r2"), 30);
  RemoveClaimsBefore(mFold, Ms(20));
  CHECK(Evaluate("r2") == ClaimVerdict::Held);
}
