#include <string>
#include <variant>
#include <vector>

#include "by_http/HttpFixture.h"
#include "by_json/JsonText.h"
#include "by_json/generated/api_json.h"

#include "CppUTest/TestHarness.h"

namespace by::test {

TEST_GROUP(HttpFaults){ /// Checks a reply's status and code, and that the server goes on serving.
                        void CheckRefused(HttpFixture & aFixture,
                                          const std::optional<HttpPeer::Response>& aReply,
                                          unsigned aStatus,
                                          const std::string& aCode){ CHECK(aReply.has_value());
LONGS_EQUAL(aStatus, aReply->result_int());
const auto error = ReadJsonText<ErrorBody>(aReply->body());
CHECK(error.ok());
STRCMP_EQUAL(aCode.c_str(), error->Code().c_str());
CHECK_FALSE(error->Error().empty());
const auto health = HttpPeer(aFixture.Server().Port()).Call("GET", "/healthz");
CHECK(health.has_value());
LONGS_EQUAL(200, health->result_int());
}
}
;

TEST(HttpFaults, MalformedJsonIsRefusedWithItsPlace)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  const auto reply = peer.Call("POST", "/v1/requests", kArreoToken, "{\"label\":\n  oops}");
  CheckRefused(fixture, reply, 400, "invalid");
  STRCMP_CONTAINS("line 2, column", reply->body().c_str());
}

TEST(HttpFaults, WrongTypesAndUnknownKeysAreAllReported)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  const auto reply = peer.Call(
    "POST", "/v1/requests", kArreoToken, R"({"label":7,"kind":"fare-quote","colour":"red"})");
  CheckRefused(fixture, reply, 400, "invalid");
  STRCMP_CONTAINS("label: is not a string", reply->body().c_str());
  STRCMP_CONTAINS("colour: is not a known key", reply->body().c_str());
}

/// Of two values for one key, a proxy and this product could each have taken another.
TEST(HttpFaults, RepeatedKeysAreRefused)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  const auto reply = peer.Call("POST",
                               "/v1/requests",
                               kArreoToken,
                               R"({"label":"a","kind":"fare-quote","kind":"fare-quote"})");
  CheckRefused(fixture, reply, 400, "invalid");
  STRCMP_CONTAINS("kind: the key is repeated", reply->body().c_str());
}

TEST(HttpFaults, MissingAndWrongTokensAreRefused)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  const auto submit = [&peer](const std::string& aToken) {
    return peer.Call("POST", "/v1/requests", aToken, kSubmitBody);
  };
  CheckRefused(fixture, submit(""), 401, "unauthorized");
  CheckRefused(fixture, submit("arreo-tokem"), 401, "unauthorized");
  CheckRefused(fixture, submit(kArreoToken + "x"), 401, "unauthorized");
  CheckRefused(fixture, submit(kOperatorToken), 403, "forbidden");
}

TEST(HttpFaults, TeamsMayNotUseOperatorsCalls)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  for (const auto* target : { "/v1/config", "/v1/config/status", "/v1/nodes", "/state" }) {
    CheckRefused(fixture, peer.Call("GET", target, kArreoToken), 403, "forbidden");
  }
  CheckRefused(fixture, peer.Call("POST", "/v1/drain", kArreoToken), 403, "forbidden");
  CheckRefused(fixture, peer.Call("POST", "/v1/config", kArreoToken, "{}"), 403, "forbidden");
}

TEST(HttpFaults, TeamMayNotPlanForAnotherTeam)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  const std::string spec = R"({"name":"quotes","team":"arreo"})";
  CheckRefused(
    fixture, peer.Call("POST", "/v1/intents/plan", kLakfaellesToken, spec), 403, "forbidden");
  CheckRefused(
    fixture, peer.Call("GET", "/v1/intents?team=arreo", kLakfaellesToken), 403, "forbidden");
}

TEST(HttpFaults, UnknownPathAndMethodAreRefused)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  CheckRefused(fixture, peer.Call("GET", "/v1/rumours", kArreoToken), 404, "not_found");
  CheckRefused(fixture, peer.Call("GET", "/v1/intents//", kArreoToken), 404, "not_found");
  CheckRefused(
    fixture, peer.Call("DELETE", "/v1/config", kOperatorToken), 405, "method_not_allowed");
}

TEST(HttpFaults, TooLargeBodyIsRefusedBeforeItIsRead)
{
  HttpFixture fixture({ .mBodyLimit = 2048 });
  HttpPeer peer(fixture.Server().Port());
  peer.SendRaw("POST /v1/requests HTTP/1.1\r\nHost: node\r\nContent-Length: 104857600\r\n\r\n");
  CheckRefused(fixture, peer.Read(), 413, "body_too_large");
}

TEST(HttpFaults, TooLargeBodyInChunksIsRefused)
{
  HttpFixture fixture({ .mBodyLimit = 2048 });
  HttpPeer peer(fixture.Server().Port());
  peer.SendRaw("POST /v1/requests HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n");
  peer.SendRaw("1000\r\n" + std::string(4096, 'x') + "\r\n0\r\n\r\n");
  CheckRefused(fixture, peer.Read(), 413, "body_too_large");
}

TEST(HttpFaults, HeaderFloodIsRefused)
{
  HttpFixture fixture({ .mHeaderLimit = 2048 });
  HttpPeer peer(fixture.Server().Port());
  std::string header = "GET /healthz HTTP/1.1\r\n";
  for (int i = 0; i < 1000; ++i) {
    header += "X-" + std::to_string(i) + ": flood\r\n";
  }
  peer.SendRaw(header);
  CheckRefused(fixture, peer.Read(), 431, "header_too_large");
}

TEST(HttpFaults, BytesThatAreNotHttpAreRefused)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.SendRaw(std::string("\x16\x03\x01\x02\x00", 5) + "hello\r\n\r\n");
  CheckRefused(fixture, peer.Read(), 400, "malformed");
}

TEST(HttpFaults, SlowClientIsClosed)
{
  HttpFixture fixture({ .mIdleTimeout = Time::FromMilliseconds(100) });
  HttpPeer slow(fixture.Server().Port());
  slow.SendRaw("POST /v1/requests HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\n123");
  CHECK_FALSE(slow.Read().has_value());
  CHECK(HttpPeer(fixture.Server().Port()).Call("GET", "/healthz").has_value());
}

TEST(HttpFaults, TwoHundredIdleConnectionsDoNotStopTheServer)
{
  HttpFixture fixture;
  std::vector<std::unique_ptr<HttpPeer>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<HttpPeer>(fixture.Server().Port()));
  }
  HttpPeer peer(fixture.Server().Port());
  peer.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto answer = Answer::Create({ .mRequest = fixture.NextRequest() }).value();
  fixture.Server().Answer(AnswerCaller::Create({ .mAnswer = answer }).value());
  LONGS_EQUAL(200, peer.Read()->result_int());
}

TEST(HttpFaults, ConnectionsOverTheLimitAreToldSo)
{
  HttpFixture fixture({ .mMaxConnections = 2 });
  HttpPeer first(fixture.Server().Port());
  HttpPeer second(fixture.Server().Port());
  // Connections with a call do not give way.
  first.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  second.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  fixture.NextRequest();
  const auto reply = HttpPeer(fixture.Server().Port()).Read();
  CHECK(reply.has_value());
  LONGS_EQUAL(503, reply->result_int());
  STRCMP_CONTAINS("too_many_connections", reply->body().c_str());
  const auto answer = Answer::Create({ .mRequest = request }).value();
  fixture.Server().Answer(AnswerCaller::Create({ .mAnswer = answer }).value());
  LONGS_EQUAL(200, first.Read()->result_int());
}

/// A crowd of idle connections kept everybody else out.
TEST(HttpFaults, ConnectionIdleLongestGivesWay)
{
  HttpFixture fixture({ .mMaxConnections = 2 });
  HttpPeer first(fixture.Server().Port());
  HttpPeer second(fixture.Server().Port());
  CHECK(first.Call("GET", "/healthz").has_value());
  CHECK(second.Call("GET", "/healthz").has_value());
  HttpPeer third(fixture.Server().Port());
  const auto reply = third.Call("GET", "/healthz");
  CHECK(reply.has_value());
  LONGS_EQUAL(200, reply->result_int());
  CHECK_FALSE(first.Read().has_value());
}

/// Endless trailers raised a node by 7 MB a connection, since only the header and the body had a
/// limit.
TEST(HttpFaults, EndlessTrailersAndExtensionsAreRefused)
{
  HttpFixture fixture({ .mBodyLimit = 2048, .mHeaderLimit = 2048 });
  const std::string begin =
    "POST /v1/requests HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n1";
  HttpPeer trailers(fixture.Server().Port());
  trailers.SendRaw(begin + "\r\nx\r\n0\r\nX-Trailer: " + std::string(8192, 'v'));
  CheckRefused(fixture, trailers.Read(), 400, "framing_too_large");
  HttpPeer extension(fixture.Server().Port());
  extension.SendRaw(begin + ";name=" + std::string(8192, 'v'));
  CheckRefused(fixture, extension.Read(), 400, "framing_too_large");
}

/// A caller that does not read its replies, and one whose header does not arrive.
TEST(HttpFaults, ClientsThatNeitherReadNorSendAreClosed)
{
  HttpFixture fixture({ .mIdleTimeout = Time::FromMilliseconds(100) });
  HttpPeer slow(fixture.Server().Port());
  slow.SendRaw("GET /heal");
  CHECK_FALSE(slow.Read().has_value());
  HttpPeer quiet(fixture.Server().Port());
  CHECK_FALSE(quiet.Read().has_value());
}

} // namespace by::test
