#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "by_web/WebServer.h"
#include "platform/StoreProbe.h"

using namespace by;
using namespace by::platform;

TEST_GROUP(StoreProbe)
{
  boost::asio::io_context mContext;
  std::unique_ptr<HttpClient> mClient = HttpClient::Create(mContext, HttpClientSettings()).value();
  /// The status of each answer, in order; zero leaves the call unanswered.
  std::vector<unsigned> mStatuses;
  std::size_t mCalls{ 0 };
  int mAnswered{ 0 };
  std::shared_ptr<WebServer> mServer =
    WebServer::Create(mContext,
                      Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value(),
                      CapacityOf(100),
                      [this](const WebRequest&, const std::shared_ptr<WebSession>& aSession) {
                        const auto status = mStatuses.at(mCalls++);
                        if (status != 0) {
                          aSession->Answer(status, "");
                        }
                      })
      .value();
  std::shared_ptr<StoreProbe> mProbe = StoreProbe::Create(mContext, *mClient, mServer->Listening());

  void RunUntilAnswered()
  {
    mProbe->Start({}, [this] { ++mAnswered; });
    while (mAnswered == 0) {
      mContext.run_one();
    }
  }
};

/// After an outage in which the store was silent, nodes knew of its return 1.8 s late: their only
/// call had been sent before it and had a time limit of 2 s.
TEST(StoreProbe, ReturnIsNoticedWhileAnEarlierCallIsStillOpen)
{
  mStatuses = { 0, 200 };
  RunUntilAnswered();
  LONGS_EQUAL(2, mCalls);
  LONGS_EQUAL(1, mClient->OpenCalls());
}

TEST(StoreProbe, RefusalIsNoReturn)
{
  mStatuses = { 503, 429, 410 };
  RunUntilAnswered();
  LONGS_EQUAL(3, mCalls);
}

TEST(StoreProbe, LateAnswersAreIgnored)
{
  mStatuses = { 200 };
  RunUntilAnswered();
  mContext.restart();
  mContext.poll();
  LONGS_EQUAL(1, mAnswered);
  LONGS_EQUAL(1, mCalls);
}
