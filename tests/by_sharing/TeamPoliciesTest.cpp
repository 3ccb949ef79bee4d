#include "by_sharing/by_sharing.h"

#include <limits>

#include <CppUTest/TestHarness.h>

#include "by_placement/ResourceMath.h"

using namespace by;

namespace {

constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();

TeamPolicy
Team(const std::string& aName, std::int64_t aWeight, std::int64_t aCpu)
{
  return TeamPolicy::Create({ .mName = TeamId(aName),
                              .mKeys = {},
                              .mWeight = aWeight,
                              .mQuota = Resources::Create({ .mCpuMillis = aCpu }).value() })
    .value();
}

Resources
Cpu(std::int64_t aMillis)
{
  return Resources::Create({ .mCpuMillis = aMillis }).value();
}

} // namespace

TEST_GROUP(TeamPolicies){};

/// The last entry of a team that is listed twice replaced the first.
TEST(TeamPolicies, FirstOfTwoEntriesApplies)
{
  TeamTable table;
  SetTeamPolicies(table, { Team("red", 3, 1000), Team("blue", 1, 0), Team("red", 9, 0) });
  CHECK_EQUAL(3, WeightOf(table, TeamId("red")));
  CHECK_EQUAL(4, table.mShareSum);
  CHECK_FALSE(QuotaCanHold(*FindTeam(table, TeamId("red")), Cpu(1001), 1));
}

/// A weight of zero divided by zero or gave a share of nothing.
TEST(TeamPolicies, WeightBelowOneCountsAsOne)
{
  TeamTable table;
  SetTeamPolicies(table, { Team("red", 0, 0), Team("blue", -5, 0) });
  CHECK_EQUAL(1, WeightOf(table, TeamId("red")));
  CHECK_EQUAL(1, WeightOf(table, TeamId("blue")));
}

TEST(TeamPolicies, SumsOfTheLargestNumbersDoNotOverflow)
{
  TeamTable table;
  std::vector<TeamPolicy> teams;
  for (int i = 0; i < 150; ++i) {
    teams.push_back(Team("t" + std::to_string(i), kLargest, kLargest));
  }
  SetTeamPolicies(table, teams);
  CHECK(table.mShareSum > 0);
  const auto charge = ChargeOf(Cpu(kLargest));
  for (int i = 0; i < 1000; ++i) {
    AddUsage(table, TeamId("t0"), WorkClass::Batch, charge);
  }
  const auto& row = *FindTeam(table, TeamId("t0"));
  CHECK(row.Used().CpuMillis() > 0);
  CHECK_FALSE(IsAboveQuota(row));
  CHECK_EQUAL(5, CountWithinQuota(row, charge, 5));
  CHECK_EQUAL(0, CountWithinQuota(row, Cpu(kLargest), 5));
}

/// A negative amount in a submission reduced the usage of its team.
TEST(TeamPolicies, NegativeDemandIsChargedAsNothing)
{
  CHECK(ChargeOf(Cpu(-1)) == Resources());
}

TEST(TeamPolicies, UsageSurvivesANewConfiguration)
{
  TeamTable table;
  SetTeamPolicies(table, { Team("red", 1, 3000), Team("blue", 1, 0) });
  AddUsage(table, TeamId("red"), WorkClass::Batch, Cpu(2500));
  SetTeamPolicies(table, { Team("red", 1, 2000) });
  CHECK(IsAboveQuota(*FindTeam(table, TeamId("red"))));
  CHECK_EQUAL(0, CountWithinQuota(*FindTeam(table, TeamId("red")), Cpu(1), 1));
  CHECK(FindTeam(table, TeamId("blue")) == nullptr);
  SetTeamPolicies(table, {});
  CHECK_FALSE(IsAboveQuota(*FindTeam(table, TeamId("red"))));
}

/// A quota of no processor time at all for one resource does not limit the others.
TEST(TeamPolicies, AmountsWithoutALimitAreUnlimited)
{
  TeamTable table;
  SetTeamPolicies(table, { Team("red", 1, 1000) });
  const auto& row = *FindTeam(table, TeamId("red"));
  const auto wide = Resources::Create({ .mCpuMillis = 1, .mMemoryMb = kLargest }).value();
  CHECK(QuotaCanHold(row, wide, 1));
  CHECK_EQUAL(1000, CountWithinQuota(row, Cpu(1), 5000));
}
