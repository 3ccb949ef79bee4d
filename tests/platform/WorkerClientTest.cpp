#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "by_web/WebServer.h"
#include "platform/WorkerClient.h"

using namespace by;
using namespace by::platform;

namespace {

constexpr Time kFirstProcess = Time::FromMilliseconds(1000);
constexpr Time kNextProcess = Time::FromMilliseconds(9000);

} // namespace

/// A worker that answers all orders; only its lists say which process answers.
TEST_GROUP(WorkerClient)
{
  boost::asio::io_context mContext;
  std::unique_ptr<HttpClient> mHttp =
    HttpClient::Create(mContext, HttpClientSettings(), IdentityOfWorker).value();
  Time mProcess{ kFirstProcess };
  std::vector<std::string> mBodies;
  std::shared_ptr<WebServer> mServer = Listen(0);
  std::vector<EntryEvent> mEvents;
  WorkerClient mWorkers{ *mHttp,
                         *mHttp,
                         CellSettings(),
                         { .mDeliver = [this](EntryEvent aEvent) { mEvents.push_back(aEvent); },
                           .mLog = [](LogLine) {},
                           .mCountRefusal = {},
                           .mMetricsText = {} } };

  std::shared_ptr<WebServer> Listen(std::uint32_t aPort)
  {
    return WebServer::Create(
             mContext,
             Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = aPort }).value(),
             CapacityOf(100),
             [this](const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession) {
               mBodies.push_back(aIncoming.mBody);
               aSession->Answer(200,
                                aIncoming.mPath == "/bergamotyard/hold"
                                  ? absl::StrCat(R"({"clock_ms":5,"running":[],"ended":[],"born":)",
                                                 mProcess.Milliseconds(),
                                                 "}")
                                  : R"({"clock_ms":5})");
             })
      .value();
  }

  void RestartWorker()
  {
    const auto port = static_cast<std::uint32_t>(mServer->Listening().Port());
    mServer->Close();
    mProcess = kNextProcess;
    mServer = Listen(port);
    mBodies.clear();
  }

  void RunUntil(std::size_t aEvents)
  {
    mContext.restart();
    while (mEvents.size() < aEvents) {
      mContext.run_one();
    }
  }

  StartRun StartFor(Time aProcess)
  {
    return StartRun::Create({ .mWorker = "w1",
                              .mEndpoint = mServer->Listening(),
                              .mLeaseUntil = Time::FromMilliseconds(4000),
                              .mProcessStart = aProcess })
      .value();
  }

  PollWorker PollFor(Time aProcess)
  {
    return PollWorker::Create({ .mWorker = "w1",
                                .mEndpoint = mServer->Listening(),
                                .mAcknowledged = 7,
                                .mLeaseUntil = Time::FromMilliseconds(4000),
                                .mProcessStart = aProcess })
      .value();
  }

  bool HasReceived(const std::string& aText) const
  {
    return std::any_of(mBodies.begin(), mBodies.end(), [&](const auto& aBody) {
      return absl::StrContains(aBody, aText);
    });
  }
};

TEST(WorkerClient, StartReachesTheProcessThatItIsFor)
{
  mWorkers.Start(StartFor(kFirstProcess));
  RunUntil(1);
  const auto* answer = std::get_if<StartAnswered>(&mEvents.front().Body());
  CHECK(answer != nullptr && answer->Outcome() == OrderOutcome::Accepted);
  LONGS_EQUAL(2, mBodies.size());
}

/// The next process shortened a lease on its predecessor's clock to the longest that it grants, and
/// began runs that the owner took for ended.
TEST(WorkerClient, StartForAnEarlierProcessIsNotSent)
{
  RestartWorker();
  mWorkers.Start(StartFor(kFirstProcess));
  RunUntil(1);
  const auto* answer = std::get_if<StartAnswered>(&mEvents.front().Body());
  CHECK(answer != nullptr && answer->Outcome() == OrderOutcome::OtherProcess);
  CHECK(!HasReceived("until_ms"));
}

/// The next process forgot ends that nobody had read.
TEST(WorkerClient, LookForAnEarlierProcessIsAnsweredByAReportOfTheCurrentOne)
{
  RestartWorker();
  mWorkers.Look(PollFor(kFirstProcess));
  RunUntil(1);
  const auto* answer = std::get_if<WorkerPolled>(&mEvents.front().Body());
  CHECK(answer != nullptr && answer->Outcome() == OrderOutcome::OtherProcess);
  CHECK(answer->ProcessStart() == kFirstProcess);
  CHECK(answer->Report().ProcessStart() == kNextProcess);
  CHECK(!HasReceived("until_ms"));
  CHECK(!HasReceived(R"("acked_through":7)"));
}

TEST(WorkerClient, LookThatChangesNothingNeedsNoOtherBeforeIt)
{
  mWorkers.Look(PollFor(kFirstProcess).WithAcknowledged(0).WithLeaseUntil(std::nullopt));
  RunUntil(1);
  LONGS_EQUAL(1, mBodies.size());
  mWorkers.Start(StartFor(kFirstProcess));
  RunUntil(2);
  LONGS_EQUAL(2, mBodies.size());
}
