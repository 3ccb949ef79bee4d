#include "by_teams/by_teams.h"

#include <CppUTest/TestHarness.h>

#include "by_schema/ClusterConfig.h"

using namespace by;

namespace {

TeamPolicy
MakeTeam(const std::string& aName, std::vector<std::string> aKeys)
{
  return TeamPolicy::Create({ .mName = TeamId(aName), .mKeys = std::move(aKeys) }).value();
}

KeyTable
MakeTable(std::vector<TeamPolicy> aTeams)
{
  return KeyTable::Create(
    ClusterConfig::Create({ .mVersion = 3, .mTeams = std::move(aTeams) }).value());
}

} // namespace

TEST_GROUP(KeyTable){};

/// Fails if a key is accepted for a part of it, or if callers of a deployment without teams are
/// asked for keys.
TEST(KeyTable, OnlyWholeKeysIdentifyATeam)
{
  const auto table = MakeTable(
    { MakeTeam("red", { "gkcuyj8pjb", "ex5wa5xwyh" }), MakeTeam("blue", { "m68k7b2qqq" }) });
  CHECK(table.IsRequired());
  CHECK(table.TeamOf("gkcuyj8pjb") == TeamId("red"));
  CHECK(table.TeamOf("ex5wa5xwyh") == TeamId("red"));
  CHECK(table.TeamOf("m68k7b2qqq") == TeamId("blue"));
  for (const auto* unknown : { "", "gkcuyj8pj", "gkcuyj8pjbb", "gkcuyj8pjb ", "GKCUYJ8PJB" }) {
    CHECK_FALSE(table.TeamOf(unknown).has_value());
  }
  CHECK_FALSE(MakeTable({}).IsRequired());
}

/// Fails if a team whose last key is withdrawn is served without keys.
TEST(KeyTable, ATeamWithoutKeysLeavesKeysRequired)
{
  const auto table = MakeTable({ MakeTeam("red", {}) });
  CHECK(table.IsRequired());
  CHECK_FALSE(table.TeamOf("gkcuyj8pjb").has_value());
}

/// Fails if a key that two teams hold charges one of them for the other's work.
TEST(KeyTable, AKeyOfTwoTeamsIdentifiesNeither)
{
  const auto table = MakeTable({ MakeTeam("red", { "shared-key", "red-key" }),
                                 MakeTeam("blue", { "shared-key", "blue-key" }) });
  CHECK_FALSE(table.TeamOf("shared-key").has_value());
  CHECK(table.TeamOf("red-key") == TeamId("red"));
  LONGS_EQUAL(1, table.CountAmbiguousKeys());
  CHECK(table.TeamsWithSharedKeys() == (std::vector<TeamId>{ TeamId("blue"), TeamId("red") }));
  LONGS_EQUAL(2, table.CountKeys());
}

/// Fails if the second entry of a team hides the keys of the first.
TEST(KeyTable, KeysOfATeamThatIsListedTwiceCountTogether)
{
  const auto table = MakeTable({ MakeTeam("red", { "one" }), MakeTeam("red", { "two", "one" }) });
  CHECK(table.TeamOf("one") == TeamId("red"));
  CHECK(table.TeamOf("two") == TeamId("red"));
}

/// Fails if a key of 10 KB is compared or kept.
TEST(KeyTable, EmptyAndOversizedKeysAreNeverValid)
{
  const std::string huge(10240, 'k');
  const auto table = MakeTable({ MakeTeam("red", { "", huge, std::string(kMaxKeySize, 'k') }) });
  CHECK_FALSE(table.TeamOf("").has_value());
  CHECK_FALSE(table.TeamOf(huge).has_value());
  CHECK(table.TeamOf(std::string(kMaxKeySize, 'k')) == TeamId("red"));
  LONGS_EQUAL(1, table.CountKeys());
}
