#include <limits>
#include <string>

#include <CppUTest/TestHarness.h>

#include "by_json/JsonText.h"
#include "by_json/generated/cell_json.h"
#include "by_json/generated/jobs_json.h"
#include "by_teams/by_teams.h"
#include "platform/CallerKey.h"
#include "platform/Decode.h"

using namespace by;
using namespace by::platform;

namespace {

constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();

ClusterConfig
ConfigOf(const std::string& aTenants)
{
  auto config =
    DecodeConfig(R"({"version":7,"routes":[],"services":[],"tenants":)" + aTenants + "}");
  CHECK(config.ok());
  return *std::move(config);
}

} // namespace

TEST_GROUP(Teams){};

/// Fails if a caller is refused for the case of the scheme, or if something else than one bearer
/// token is taken for a key.
TEST(Teams, OnlyABearerTokenIsAKey)
{
  for (const auto* header : { "Bearer gkcuyj8pjb", "bearer gkcuyj8pjb", "BEARER gkcuyj8pjb" }) {
    STRCMP_EQUAL("gkcuyj8pjb", KeyOfHeader(header).c_str());
  }
  for (const auto* header : { "",
                              "gkcuyj8pjb",
                              "Basic gkcuyj8pjb",
                              "Bearer",
                              "Bearergkcuyj8pjb",
                              ", Bearer gkcuyj8pjb" }) {
    STRCMP_EQUAL("", KeyOfHeader(header).c_str());
  }
  const auto table = KeyTable::Create(ConfigOf(R"([{"name":"red","api_keys":["gkcuyj8pjb"]}])"));
  for (const auto* header : { "Bearer gkcuyj8pjb, Bearer gkcuyj8pjb",
                              "Bearer gkcuyj8pjb, ",
                              "Bearer other, Bearer gkcuyj8pjb",
                              "Bearer  gkcuyj8pjb" }) {
    CHECK_FALSE(table.TeamOf(KeyOfHeader(header)).has_value());
  }
  CHECK_FALSE(table.TeamOf(KeyOfHeader("Bearer " + std::string(10240, 'k'))).has_value());
  CHECK(table.TeamOf(KeyOfHeader("Bearer gkcuyj8pjb")) == TeamId("red"));
}

/// Fails if a team is read with other values than the operator gave.
TEST(Teams, TeamsAreDecoded)
{
  const auto config = DecodeConfig(
    R"({"version":7,"routes":[{"host":"h","path_prefix":"/a/","public":true},
        {"host":"h","path_prefix":"/b/","public":false},{"host":"h","path_prefix":"/c/"}],
        "tenants":[{"name":"red","api_keys":["one","two"],"weight":5,"priority":9,
        "max_count":{"cpu":1000,"mem_mb":2000,"gpu":3}}]})");
  CHECK(config.ok());
  LONGS_EQUAL(1, config->OpenQueues().size());
  STRCMP_EQUAL("/a/", config->OpenQueues().front().PathPrefix().c_str());
  const auto& team = config->Teams().front();
  CHECK(team.Name() == TeamId("red"));
  CHECK(team.Keys() == (std::vector<std::string>{ "one", "two" }));
  LONGS_EQUAL(5, team.Weight());
  CHECK(team.Quota() ==
        Resources::Create({ .mCpuMillis = 1000, .mMemoryMb = 2000, .mAccelerators = 3 }).value());
}

/// Fails if a team with missing or mistyped fields ends the decoding, opens the cell to callers
/// without keys, or gets keys that nobody gave it.
TEST(Teams, MissingAndMistypedFieldsGiveNoAccess)
{
  for (const auto* tenants : { R"([{}])",
                               R"([5,"x",null,[]])",
                               R"([{"name":"red"}])",
                               R"([{"name":"red","api_keys":"one"}])",
                               R"([{"name":"red","api_keys":[1,null,{},["one"],""]}])",
                               R"([{"api_keys":["one"]}])",
                               R"([{"name":7,"api_keys":["one"]}])" }) {
    const auto table = KeyTable::Create(ConfigOf(tenants));
    CHECK(table.IsRequired());
    LONGS_EQUAL(0, table.CountKeys());
    CHECK_FALSE(table.TeamOf("one").has_value());
    CHECK_FALSE(table.TeamOf("").has_value());
  }
  for (const auto* none : { "[]", "{}", "null", "5" }) {
    CHECK_FALSE(KeyTable::Create(ConfigOf(none)).IsRequired());
  }
  const auto team =
    ConfigOf(R"([{"name":"red","api_keys":["one"],"weight":"5","max_count":7}])").Teams().front();
  LONGS_EQUAL(0, team.Weight());
  CHECK(team.Quota() == Resources());
}

/// Fails if a weight or quota of zero or of the largest number turns into another one; a huge quota
/// that turns negative stops the team.
TEST(Teams, NumbersAtTheLimitsKeepTheirMeaning)
{
  const auto zero =
    ConfigOf(R"([{"name":"red","weight":0,"max_count":{"cpu":0,"mem_mb":0,"gpu":0}}])")
      .Teams()
      .front();
  LONGS_EQUAL(0, zero.Weight());
  CHECK(zero.Quota() == Resources());
  for (const auto* number : { "9223372036854775807", "18446744073709551615", "1e300" }) {
    const std::string text = std::string(R"([{"name":"red","weight":)") + number +
                             R"(,"max_count":{"cpu":)" + number + R"(,"mem_mb":)" + number +
                             R"(,"gpu":)" + number + "}}]";
    const auto team = ConfigOf(text).Teams().front();
    CHECK_EQUAL(kLargest, team.Weight());
    CHECK_EQUAL(kLargest, team.Quota().CpuMillis());
    CHECK_EQUAL(kLargest, team.Quota().MemoryMb());
    CHECK_EQUAL(kLargest, team.Quota().Accelerators());
  }
}

/// Fails if a dump of a call, of a configuration or of the message that carries it shows a key, or
/// if the error for a configuration that can't be read does.
TEST(Teams, KeysAreInNoDumpAndNoError)
{
  const auto config = ConfigOf(R"([{"name":"red","api_keys":["gkcuyj8pjb"]}])");
  const auto call = JobCall::Create({ .mHost = "h", .mKey = "gkcuyj8pjb" }).value();
  const auto message = LinkMessage::Create({ .mBody = config }).value();
  const auto event = EntryEvent::Create({ .mBody = call }).value();
  for (const auto& text : { WriteJsonText(call),
                            WriteJsonText(config),
                            WriteJsonText(config.Teams().front()),
                            WriteJsonText(message),
                            WriteJsonText(event) }) {
    CHECK(text.find("gkcuyj8pjb") == std::string::npos);
  }
  const auto broken = DecodeConfig(R"({"tenants":[{"name":"red","api_keys":["gkcuyj8pjb",}]})");
  CHECK_FALSE(broken.ok());
  CHECK(broken.status().ToString().find("gkcuyj8pjb") == std::string::npos);
}
