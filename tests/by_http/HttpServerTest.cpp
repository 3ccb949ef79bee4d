#include <chrono>
#include <future>
#include <string>
#include <variant>

#include "by_http/HttpFixture.h"
#include "by_json/JsonText.h"
#include "by_json/generated/requests_json.h"

#include "CppUTest/TestHarness.h"

namespace by::test {

TEST_GROUP(HttpServer){};

namespace {

AnswerCaller
AnswerFor(const RequestId& aRequest, const std::string& aPayload)
{
  return AnswerCaller::Create(
           { .mAnswer =
               Answer::Create({ .mRequest = aRequest, .mAttempt = 1, .mPayload = aPayload })
                 .value() })
    .value();
}

} // namespace

TEST(HttpServer, LateAndOutOfOrderAnswersReachTheirOwnCallers)
{
  HttpFixture fixture;
  HttpPeer first(fixture.Server().Port());
  first.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto one = fixture.NextRequest();
  HttpPeer second(fixture.Server().Port());
  second.Send("POST", "/v1/requests", kLakfaellesToken, kSubmitBody);
  const auto two = fixture.NextRequest();
  fixture.Server().Answer(AnswerFor(two, "second"));
  fixture.Server().Answer(AnswerFor(two, "again"));
  fixture.Server().Answer(AnswerFor(one, "first"));
  const auto toSecond = second.Read();
  const auto toFirst = first.Read();
  CHECK(toFirst.has_value() && toSecond.has_value());
  CHECK_EQUAL(200, toFirst->result_int());
  CHECK(ReadJsonText<Answer>(toFirst->body())->Payload() == "first");
  CHECK(ReadJsonText<Answer>(toSecond->body())->Payload() == "second");
  CHECK((*toFirst)["X-Request-Id"] == one.Text());
}

TEST(HttpServer, ClosedConnectionTellsThatTheCallerIsGone)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  peer.Close();
  const auto event = fixture.NextEvent();
  CHECK(std::get<CallerGone>(event.Body()).Request() == request);
}

/// A caller that shut down its sending side after its request got no answer.
TEST(HttpServer, CallerThatHasShutDownItsSendingSideIsAnswered)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  peer.ShutDownSending();
  const auto event = fixture.NextEvent();
  CHECK(std::get<CallerGone>(event.Body()).Request() == request);
  fixture.Server().Answer(AnswerFor(request, "late"));
  const auto reply = peer.Read();
  CHECK(reply.has_value());
  STRCMP_CONTAINS("late", reply->body().c_str());
  CHECK_FALSE(peer.Read().has_value());
}

/// A planned stop closed connections whose requests the busy process had not read yet.
TEST(HttpServer, StopAnswersRequestsThatTheKernelHolds)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  CHECK(peer.Call("GET", "/healthz").has_value());
  fixture.HoldTraffic();
  peer.Send("GET", "/healthz");
  fixture.Server().StopAccepting();
  fixture.ReleaseTraffic();
  const auto reply = peer.Read();
  CHECK(reply.has_value());
  LONGS_EQUAL(200, reply->result_int());
  CHECK_FALSE(reply->keep_alive());
}

/// A daemon ended 0.3 s after its last decision, also under calls that were open.
TEST(HttpServer, StopIsFinishedWhenTheLastCallIsAnswered)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  std::promise<void> finished;
  auto isFinished = finished.get_future();
  fixture.Server().Finish([&finished] { finished.set_value(); });
  // Both threads have come to the stop.
  fixture.HoldTraffic();
  fixture.ReleaseTraffic();
  CHECK(isFinished.wait_for(std::chrono::milliseconds(0)) == std::future_status::timeout);
  fixture.Server().Answer(AnswerFor(request, "last"));
  CHECK(peer.Read().has_value());
  peer.Close();
  isFinished.wait();
}

TEST(HttpServer, PipelinedCallsAreAnsweredInTheirOrder)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  peer.Send("GET", "/metrics");
  fixture.Server().Answer(AnswerFor(request, "first"));
  STRCMP_CONTAINS("first", peer.Read()->body().c_str());
  STRCMP_CONTAINS("by_up 1", peer.Read()->body().c_str());
}

TEST(HttpServer, BodyIsAskedForWhereTheClientWaitsForThat)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  peer.SendRaw("POST /v1/drain HTTP/1.1\r\nHost: node\r\nExpect: 100-continue\r\n"
               "Authorization: Bearer operator-token\r\nContent-Length: 2\r\n\r\n");
  LONGS_EQUAL(100, peer.Read()->result_int());
  peer.SendRaw("{}");
  const auto call = std::get<OperatorCall>(fixture.NextEvent().Body());
  fixture.Server().Reply(
    ReplyOperator::Create(
      { .mReply =
          OperatorReply::Create({ .mCall = call.Call(), .mCode = ReplyCode::Conflict }).value() })
      .value());
  LONGS_EQUAL(409, peer.Read()->result_int());
}

TEST(HttpServer, PlannedStopClosesIdleConnectionsAndFinishesCallsInFlight)
{
  HttpFixture fixture;
  HttpPeer idle(fixture.Server().Port());
  CHECK(idle.Call("GET", "/healthz").has_value());
  HttpPeer busy(fixture.Server().Port());
  busy.Send("POST", "/v1/requests", kArreoToken, kSubmitBody);
  const auto request = fixture.NextRequest();
  fixture.Server().StopAccepting();
  CHECK_FALSE(idle.Read().has_value());
  fixture.Server().Answer(AnswerFor(request, "whole"));
  const auto reply = busy.Read();
  STRCMP_CONTAINS("whole", reply->body().c_str());
  CHECK_FALSE(reply->keep_alive());
  CHECK_FALSE(busy.Read().has_value());
}

TEST(HttpServer, ReadinessAndTokensFollowTheNode)
{
  HttpFixture fixture;
  HttpPeer peer(fixture.Server().Port());
  LONGS_EQUAL(503, peer.Call("GET", "/readyz")->result_int());
  fixture.Server().SetReady(true);
  LONGS_EQUAL(200, peer.Call("GET", "/readyz")->result_int());
  fixture.Server().SetTokens(std::make_shared<const TeamTokens>());
  LONGS_EQUAL(401, peer.Call("GET", "/v1/intents", kArreoToken)->result_int());
}

TEST(HttpServer, PortInUseIsReported)
{
  HttpFixture fixture;
  boost::asio::io_context context;
  const auto listen =
    Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = fixture.Server().Port() }).value();
  const auto second =
    by::HttpServer::Create({ &context }, HttpSettings::Create({ .mListen = listen }).value(), {});
  STRCMP_CONTAINS("Address already in use", std::string(second.status().message()).c_str());
}

} // namespace by::test
