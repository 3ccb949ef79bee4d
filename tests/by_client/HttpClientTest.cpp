#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

#include "absl/strings/str_cat.h"

#include "by_client/by_client.h"
#include "by_web/WebServer.h"

using namespace by;
using by::WebRequest;
using by::WebServer;
using by::WebSession;

namespace {

constexpr std::int64_t kManyConnections = 1000;

Endpoint
AnyPort()
{
  return Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value();
}

/// Echoes the body of POST; "/drop" closes without an answer, "/hang" does not answer by itself,
/// "/busy" refuses.
void
Handle(const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession)
{
  if (aIncoming.mPath == "/drop") {
    aSession->Drop();
  } else if (aIncoming.mPath != "/hang") {
    aSession->Answer(aIncoming.mPath == "/busy" ? 503 : 200, aIncoming.mBody);
  }
}

/// The server's processes identify themselves at "/who" by a text that starts with "process".
std::string
ReadIdentity(const HttpResult& aResult)
{
  return aResult.Body().starts_with("process") ? aResult.Body() : std::string();
}

HttpClientSettings
SettingsWith(std::int64_t aConnections, std::int64_t aWaiting)
{
  return HttpClientSettings::Create({ .mMaxConnections = aConnections, .mMaxWaiting = aWaiting })
    .value();
}

} // namespace

TEST_GROUP(HttpClient)
{
  boost::asio::io_context mContext;
  std::vector<std::shared_ptr<WebSession>> mHung;
  /// The identity of the server's process, and the paths of all calls that have reached it.
  std::string mProcess{ "process 1" };
  std::vector<std::string> mReceived;
  std::shared_ptr<WebServer> mServer = Listen(AnyPort());
  std::unique_ptr<HttpClient> mClient =
    HttpClient::Create(mContext, SettingsWith(4, 1000), ReadIdentity).value();
  std::map<std::uint64_t, HttpResult> mResults;

  HttpCall Call(const std::string& aTarget, const std::string& aBody, std::int64_t aTimeout = 20000)
  {
    return HttpCall::Create({ .mEndpoint = mServer->Listening(),
                              .mMethod = HttpMethod::Post,
                              .mTarget = aTarget,
                              .mBody = aBody,
                              .mTimeout = Time::FromMilliseconds(aTimeout) })
      .value();
  }

  std::shared_ptr<WebServer> Listen(const Endpoint& aEndpoint)
  {
    return WebServer::Create(
             mContext,
             aEndpoint,
             CapacityOf(kManyConnections),
             [this](const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession) {
               mReceived.push_back(aIncoming.mPath);
               if (aIncoming.mPath == "/hang") {
                 mHung.push_back(aSession);
               }
               if (aIncoming.mPath == "/who") {
                 aSession->Answer(200, mProcess);
                 return;
               }
               Handle(aIncoming, aSession);
             })
      .value();
  }

  /// The process ends with its connections, and another one takes over its endpoint.
  void Restart(const std::string& aProcess)
  {
    const auto endpoint = mServer->Listening();
    mServer->Close();
    mProcess = aProcess;
    mServer = Listen(endpoint);
  }

  /// @returns a call for one process of the server.
  HttpCall CallFor(const std::string& aProcess,
                   const std::string& aTarget,
                   const std::string& aWho = "/who",
                   std::int64_t aTimeout = 20000)
  {
    return Call(aTarget, "x", aTimeout)
      .WithPeerCheck(PeerCheck::Create({ .mExpected = aProcess, .mTarget = aWho }).value());
  }

  std::uint64_t Send(const HttpCall& aCall)
  {
    return mClient->Send(aCall, [this](std::uint64_t aNumber, const HttpResult& aResult) {
      CHECK(mResults.emplace(aNumber, aResult).second);
    });
  }

  void RunUntilAnswered(std::size_t aCount)
  {
    mContext.restart();
    while (mResults.size() < aCount) {
      mContext.run_one();
    }
  }
};

TEST(HttpClient, EachCallGetsItsOwnAnswerOverFewConnections)
{
  std::map<std::uint64_t, std::string> sent;
  for (int n = 0; n < 200; ++n) {
    const auto body = absl::StrCat("body ", n);
    sent.emplace(Send(Call("/echo", body)), body);
  }
  RunUntilAnswered(sent.size());
  for (const auto& [number, body] : sent) {
    CHECK(mResults.at(number).Outcome() == CallOutcome::Completed);
    STRCMP_EQUAL(body.c_str(), mResults.at(number).Body().c_str());
  }
  LONGS_EQUAL(4, mServer->OpenConnections());
}

TEST(HttpClient, RefusedConnectionIsNotSent)
{
  const auto call = Call("/echo", "x");
  mServer->Close();
  const auto number = Send(call);
  RunUntilAnswered(1);
  CHECK(mResults.at(number).Outcome() == CallOutcome::NotSent);
}

TEST(HttpClient, ConnectionClosedBeforeTheAnswerIsLost)
{
  const auto number = Send(Call("/drop", "x"));
  RunUntilAnswered(1);
  CHECK(mResults.at(number).Outcome() == CallOutcome::Lost);
}

TEST(HttpClient, CallWithoutAnswerIsLostAtItsTimeout)
{
  const auto number = Send(Call("/hang", "x", 30));
  RunUntilAnswered(1);
  CHECK(mResults.at(number).Outcome() == CallOutcome::Lost);
  STRCMP_EQUAL("timed out", mResults.at(number).Detail().c_str());
}

TEST(HttpClient, CallThatNeverGotAConnectionIsNotSentAtItsTimeout)
{
  mClient = HttpClient::Create(mContext, SettingsWith(1, 10)).value();
  const auto first = Send(Call("/hang", "x", 20000));
  const auto second = Send(Call("/echo", "y", 30));
  RunUntilAnswered(1);
  CHECK(mResults.at(second).Outcome() == CallOutcome::NotSent);
  mClient->Cancel(first);
  RunUntilAnswered(2);
  CHECK(mResults.at(first).Outcome() == CallOutcome::Lost);
  STRCMP_EQUAL("cancelled", mResults.at(first).Detail().c_str());
}

TEST(HttpClient, FullWaitingQueueRefusesWithoutSending)
{
  mClient = HttpClient::Create(mContext, SettingsWith(1, 0)).value();
  const auto first = Send(Call("/echo", "x"));
  const auto second = Send(Call("/echo", "y"));
  RunUntilAnswered(2);
  CHECK(mResults.at(first).Outcome() == CallOutcome::Completed);
  CHECK(mResults.at(second).Outcome() == CallOutcome::NotSent);
}

TEST(HttpClient, ServerThatClosedUnusedConnectionsIsReachedOverANewOne)
{
  Send(Call("/echo", "x"));
  RunUntilAnswered(1);
  mServer->Close();
  mContext.poll();
  CHECK(mServer->Reopen().ok());
  const auto number = Send(Call("/echo", "y"));
  RunUntilAnswered(2);
  CHECK(mResults.at(number).Outcome() == CallOutcome::Completed);
}

/// Connections that fell silent together were tried one after another, each until its call timed
/// out.
TEST(HttpClient, TimedOutCallClosesTheUnusedConnectionsThatMayBeSilentToo)
{
  Send(Call("/echo", "x"));
  Send(Call("/echo", "y"));
  RunUntilAnswered(2);
  LONGS_EQUAL(2, mServer->OpenConnections());
  Send(Call("/hang", "z", 50));
  RunUntilAnswered(3);
  while (mServer->OpenConnections() > 1) {
    mContext.run_one();
  }
  // Only a caller that has closed its side lets an answered connection end.
  mHung.front()->Answer(200, "");
  while (mServer->OpenConnections() > 0) {
    mContext.run_one();
  }
}

TEST(HttpClient, ConnectionsBeyondTheServersLimitAreRefusedWithAStatusCode)
{
  bool isBusy = false;
  const auto handle = [&](const WebRequest& aIncoming,
                          const std::shared_ptr<WebSession>& aSession) {
    isBusy = true;
    Handle(aIncoming, aSession);
  };
  mServer = WebServer::Create(mContext, AnyPort(), CapacityOf(1), handle).value();
  Send(Call("/hang", "x"));
  // A connection without a call would give way.
  while (!isBusy) {
    mContext.run_one();
  }
  const auto second = Send(Call("/echo", "y"));
  RunUntilAnswered(1);
  LONGS_EQUAL(503, mResults.at(second).StatusCode());
  LONGS_EQUAL(1, mServer->RefusedConnections());
}

TEST(HttpClient, CallForAProcessFollowsItsIdentificationOnEachConnection)
{
  Send(CallFor("process 1", "/echo"));
  RunUntilAnswered(1);
  const auto number = Send(CallFor("process 1", "/echo"));
  RunUntilAnswered(2);
  CHECK(mResults.at(number).Outcome() == CallOutcome::Completed);
  CHECK((mReceived == std::vector<std::string>{ "/who", "/echo", "/echo" }));
}

/// An order for an earlier process of a server reached the one that had taken over its address.
TEST(HttpClient, CallForAnEarlierProcessDoesNotReachTheNextOne)
{
  Send(CallFor("process 1", "/echo"));
  RunUntilAnswered(1);
  Restart("process 2");
  mReceived.clear();
  bool isKnown = false;
  for (std::size_t n = 2; n <= 3; ++n) {
    const auto number = Send(CallFor("process 1", "/echo"));
    RunUntilAnswered(n);
    // The first call may meet a connection whose end was not noticed yet.
    CHECK(mResults.at(number).Outcome() != CallOutcome::Completed);
    isKnown = isKnown || (mResults.at(number).Outcome() == CallOutcome::OtherPeer &&
                          mResults.at(number).Body() == "process 2");
  }
  CHECK(isKnown);
  CHECK(std::find(mReceived.begin(), mReceived.end(), "/echo") == mReceived.end());
}

TEST(HttpClient, ConnectionsOfAnEarlierProcessAreNotUsedForTheNextOne)
{
  Send(CallFor("process 1", "/echo"));
  RunUntilAnswered(1);
  Restart("process 2");
  const auto number = Send(CallFor("process 2", "/echo"));
  RunUntilAnswered(2);
  CHECK(mResults.at(number).Outcome() == CallOutcome::Completed);
}

TEST(HttpClient, CallIsNotSentWhereThePeerDoesNotIdentifyItself)
{
  const auto dropped = Send(CallFor("process 1", "/echo", "/drop"));
  const auto unnamed = Send(CallFor("process 1", "/echo", "/echo"));
  RunUntilAnswered(2);
  CHECK(mResults.at(dropped).Outcome() == CallOutcome::NotSent);
  CHECK(mResults.at(unnamed).Outcome() == CallOutcome::NotSent);
}

TEST(HttpClient, RefusedIdentificationRefusesTheCall)
{
  const auto number = Send(CallFor("process 1", "/hang", "/busy"));
  RunUntilAnswered(1);
  LONGS_EQUAL(503, mResults.at(number).StatusCode());
  CHECK((mReceived == std::vector<std::string>{ "/busy" }));
}

TEST(HttpClient, CallThatTimesOutDuringTheIdentificationIsNotSent)
{
  const auto number = Send(CallFor("process 1", "/echo", "/hang", 30));
  RunUntilAnswered(1);
  CHECK(mResults.at(number).Outcome() == CallOutcome::NotSent);
  CHECK((mReceived == std::vector<std::string>{ "/hang" }));
}
