// The table of teams, read from a node's metrics. A value of another team or resource in a row, or
// a quota of zero shown as an empty quota, misleads an operator about why a team waits.

#include "by_cli/by_cli.h"
#include "by_cli/detail/FormatTeams.h"

#include "CppUTest/TestHarness.h"

using namespace by;

namespace {

constexpr const char* kMetrics =
  "# HELP bergamotyard_team_weight Weight of a team\n"
  "# TYPE bergamotyard_team_weight gauge\n"
  "bergamotyard_team_weight{team=\"a\"} 3\n"
  "bergamotyard_team_weight{team=\"b \\\"x\\\"\"} 1\n"
  "bergamotyard_team_weight{team=\"torn\n"
  "bergamotyard_team_entitled_share{team=\"a\"} 0.25\n"
  "bergamotyard_team_quota{resource=\"cpu_millis\",team=\"a\"} 8000\n"
  "bergamotyard_team_usage{resource=\"cpu_millis\",team=\"a\"} 6500\n"
  "bergamotyard_team_usage{resource=\"memory_mb\",team=\"a\"} 300\n"
  "bergamotyard_team_open_jobs{team=\"a\"} 2\n"
  "bergamotyard_team_waiting_steps{team=\"a\"} 4\n"
  "bergamotyard_team_refused_calls_total{reason=\"rate\",team=\"a\"} 10\n"
  "bergamotyard_refused_calls_total{reason=\"unauthorized\"} 6\n"
  "bergamotyard_config_version 7\n"
  "bergamotyard_keys 9\n"
  "bergamotyard_owns_cell 1\n"
  "another_team_weight{team=\"c\"} 3\n";

std::string
Format(const char* aMetrics, const char* aTeam, OutputFormat aFormat = OutputFormat::Table)
{
  const auto text = detail::FormatTeams(aMetrics, aTeam, aFormat);
  return text.ok() ? *text : std::string(text.status().message());
}

} // namespace

TEST_GROUP(Teams){};

TEST(Teams, RowsHaveTheValuesOfTheirTeam)
{
  STRCMP_EQUAL(
    "configuration 7, confirmed 0 s ago, 9 keys; refused for all teams: 6 unauthorized, 0 "
    "unconfirmed\n"
    "TEAM   WEIGHT  SHARE  CPU        MEMORY  ACCELERATORS  JOBS  WAITING  REFUSED-QUOTA  "
    "REFUSED-RATE\n"
    "a      3       25%    6500/8000  300/-   0/-           2     4        0              10\n"
    "b \"x\"  1       0%     0/-        0/-     0/-           0     0        0              0\n",
    Format(kMetrics, "").c_str());
}

// Zeros of a node that does not own the cell look like a team without work.
TEST(Teams, NodeThatDoesNotOwnTheCellShowsNoUsage)
{
  const auto text = Format("bergamotyard_team_weight{team=\"a\"} 3\n", "");
  STRCMP_CONTAINS("another node owns the cell", text.c_str());
  STRCMP_CONTAINS(
    "a     3       -      -/-  -/-     -/-           -     -        0              0\n",
    text.c_str());
}

TEST(Teams, OneTeamAndJson)
{
  CHECK(Format(kMetrics, "a").find("b \"x\"") == std::string::npos);
  STRCMP_CONTAINS("\"usage.memory_mb\":3E2", Format(kMetrics, "a", OutputFormat::Json).c_str());
  STRCMP_EQUAL("no team z in the node's configuration", Format(kMetrics, "z").c_str());
  STRCMP_EQUAL("the node's configuration has no teams", Format("x 1\n", "").c_str());
}

TEST(Teams, CommandAsksForTheMetricsOfANode)
{
  const auto command = ParseArguments({ "teams", "a" }, { "127.0.0.1:7101", "", "ana" });
  CHECK(command.ok());
  const auto call = BuildCall(*command, "");
  CHECK(call.ok());
  STRCMP_EQUAL("/metrics", call->Target().c_str());
  CHECK(!ParseArguments({ "teams", "a", "b" }, { "127.0.0.1:7101", "", "ana" }).ok());
}
