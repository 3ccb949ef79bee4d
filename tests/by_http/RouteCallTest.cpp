#include <iostream>
#include <memory>
#include <string>
#include <variant>

#include <rapidcheck.h>

#include "by_http/Replies.h"
#include "by_http/RouteCall.h"
#include "by_json/JsonText.h"
#include "by_json/generated/api_json.h"

#include "CppUTest/TestHarness.h"

namespace by::test {

TEST_GROUP(RouteCall){};

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kCalls = 2000;

template<class Property>
bool
Holds(Property aProperty)
{
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kCalls;
  const auto result = rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

HttpAccess
OneTeamAccess()
{
  const auto token = TeamToken::Create({ .mTeam = TeamId("arreo"), .mToken = "t" }).value();
  return { "o", std::make_shared<const TeamTokens>(TeamTokens::Create({ { token } }).value()) };
}

RoutedCall
Route(const std::string& aMethod,
      const std::string& aTarget,
      const std::string& aToken,
      const std::string& aBody = "")
{
  const auto call = IncomingCall::Create({ .mMethod = aMethod,
                                           .mTarget = aTarget,
                                           .mAuthorization = "Bearer " + aToken,
                                           .mBody = aBody })
                      .value();
  return RouteCall(call, OneTeamAccess(), { "00ff", 7 });
}

std::int64_t
StatusOf(const RoutedCall& aRouted)
{
  const auto* reply = std::get_if<HttpReply>(&aRouted.Body());
  return reply == nullptr ? 0 : reply->Status();
}

const OperatorCall&
OperatorCallOf(const RoutedCall& aRouted)
{
  return std::get<OperatorCall>(aRouted.Body());
}

} // namespace

TEST(RouteCall, NodeThatKnowsNoTokensYetAsksCallersToComeBack)
{
  const HttpAccess unknown{ "o", nullptr };
  const auto call = [](const std::string& aAuthorization) {
    return IncomingCall::Create(
             { .mMethod = "GET", .mTarget = "/v1/intents", .mAuthorization = aAuthorization })
      .value();
  };
  const auto early = RouteCall(call("Bearer t"), unknown, { "00ff", 7 });
  LONGS_EQUAL(503, StatusOf(early));
  CHECK(std::get<HttpReply>(early.Body()).RetryAfter() > Time());
  LONGS_EQUAL(401, StatusOf(RouteCall(call(""), unknown, { "00ff", 7 })));
  LONGS_EQUAL(401, StatusOf(RouteCall(call("Bearer x"), OneTeamAccess(), { "00ff", 7 })));
}

TEST(RouteCall, SubmitTakesTheTeamOfItsToken)
{
  const auto routed =
    Route("POST", "/v1/requests", "t", R"({"label":"l","kind":"k","payload":"p"})");
  const auto& request = std::get<CallerSubmitted>(routed.Body()).Request();
  CHECK(request.Team() == TeamId("arreo"));
  CHECK(request.Id() == RequestId("00ff"));
  CHECK(request.Payload() == "p");
  CHECK_FALSE(request.Idempotent());
}

TEST(RouteCall, TeamsListOnlyTheirOwnIntents)
{
  const auto team = Route("GET", "/v1/intents", "t");
  CHECK(std::get<ListIntents>(OperatorCallOf(team).Body()).Team() == TeamId("arreo"));
  CHECK(OperatorCallOf(team).Team() == TeamId("arreo"));
  const auto provider = Route("GET", "/v1/intents", "o");
  CHECK(OperatorCallOf(provider).Team().IsEmpty());
}

TEST(RouteCall, IntentIsTakenFromThePath)
{
  const auto routed = Route("POST", "/v1/intents/i-7/confirm", "t");
  CHECK(std::get<ConfirmIntent>(OperatorCallOf(routed).Body()).Intent() == IntentId("i-7"));
  CHECK(OperatorCallOf(routed).Call() == 7);
}

TEST(RouteCall, TokensAreShownOnlyWhereTheyWereAskedFor)
{
  const auto call = [](const std::string& aTarget) {
    return IncomingCall::Create({ .mTarget = aTarget }).value();
  };
  CHECK(AsksForSecrets(call("/v1/config?tokens=1")));
  CHECK_FALSE(AsksForSecrets(call("/v1/config?tokens=0")));
  CHECK_FALSE(AsksForSecrets(call("/v1/config")));
}

TEST(RouteCall, ConfigurationThatContradictsItselfIsRefused)
{
  const auto routed = Route("POST",
                            "/v1/config",
                            "o",
                            R"({"document":{"teams":[{"team":"a","token":"x"},
                               {"team":"a","token":"y"}],"queue_policy":"heap"}})");
  const auto& reply = std::get<HttpReply>(routed.Body());
  LONGS_EQUAL(400, reply.Status());
  STRCMP_CONTAINS("document.teams[1].team: is the same as in teams[0]; document.queue_policy",
                  reply.Body().c_str());
}

TEST(RouteCall, RandomBytesNeverPassAndAlwaysGetAReadableReply)
{
  const bool held = Holds([] {
    const auto method = *rc::gen::elementOf(std::vector<std::string>{ "GET", "POST", "PUT", "" });
    const auto target =
      *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                      rc::gen::elementOf(std::vector<std::string>{ "/v1/requests",
                                                                   "/v1/intents/plan",
                                                                   "/v1/config",
                                                                   "/v1/intents/x/cancel",
                                                                   "/state?a&b=&=" }));
    const auto token = *rc::gen::elementOf(std::vector<std::string>{ "t", "o", "", "\0t" });
    const auto body = *rc::gen::arbitrary<std::string>();
    const auto routed = Route(method, target, token, body);
    RC_ASSERT(!std::holds_alternative<CallerSubmitted>(routed.Body()));
    if (const auto* reply = std::get_if<HttpReply>(&routed.Body())) {
      RC_ASSERT(reply->Status() >= 400);
      RC_ASSERT(ReadJsonText<ErrorBody>(reply->Body()).ok());
    }
  });
  CHECK(held);
}

TEST(RouteCall, RandomJsonIsAcceptedOnlyWithinItsBounds)
{
  const bool held = Holds([] {
    const auto label = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    const auto patience = *rc::gen::arbitrary<std::int64_t>();
    const auto body = R"({"label":")" + label + R"(","kind":"k","patience":)" +
                      std::to_string(patience) + R"(,"resources":{"cpu_millis":1}})";
    const auto routed = Route("POST", "/v1/requests", "t", body);
    const bool valid =
      !label.empty() && label.size() <= 128 && patience >= 1 && patience <= 86400000;
    RC_ASSERT(std::holds_alternative<CallerSubmitted>(routed.Body()) == valid);
  });
  CHECK(held);
}

TEST(RouteCall, EveryOutcomeHasItsStatus)
{
  const auto status = [](Outcome aOutcome, Reason aReason) {
    return StatusOf(Answer::Create({ .mOutcome = aOutcome, .mReason = aReason }).value());
  };
  LONGS_EQUAL(200, status(Outcome::Answered, Reason::None));
  LONGS_EQUAL(503, status(Outcome::NotRun, Reason::LogUnavailable));
  LONGS_EQUAL(429, status(Outcome::NotRun, Reason::Quota));
  LONGS_EQUAL(422, status(Outcome::NotRun, Reason::NeverFits));
  LONGS_EQUAL(409, status(Outcome::NotRun, Reason::LabelReused));
  LONGS_EQUAL(504, status(Outcome::Unknown, Reason::Lost));
  LONGS_EQUAL(409, StatusOf(ReplyCode::Conflict));
  LONGS_EQUAL(504, StatusOf(ReplyCode::Unknown));
}

} // namespace by::test
