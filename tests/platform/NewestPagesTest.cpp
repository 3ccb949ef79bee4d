// The newest records of a topic come in pages. Records that a broken page leaves out must not pass
// for records that are gone: an owner would give up workers that are registered and forget jobs.

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "by_web/WebServer.h"
#include "platform/KeyedTopic.h"

using namespace by;
using namespace by::platform;

namespace {

constexpr unsigned kOk = 200;

} // namespace

TEST_GROUP(NewestPages)
{
  boost::asio::io_context mContext;
  std::unique_ptr<HttpClient> mClient = HttpClient::Create(mContext, HttpClientSettings()).value();
  /// The body of each answer, in order.
  std::vector<std::string> mBodies;
  std::size_t mCalls{ 0 };
  std::shared_ptr<WebServer> mServer =
    WebServer::Create(mContext,
                      Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value(),
                      CapacityOf(100),
                      [this](const WebRequest&, const std::shared_ptr<WebSession>& aSession) {
                        aSession->Answer(kOk, mBodies.at(mCalls++));
                      })
      .value();
  std::vector<StoreOutcome> mOutcomes;
  std::size_t mRecords{ 0 };

  void Read()
  {
    ReadNewest(
      *mClient, mServer->Listening(), "keyed.x", [this](StoreOutcome aOutcome, TopicPiece aPiece) {
        mOutcomes.push_back(aOutcome);
        mRecords = aPiece.mRecords.size();
      });
    while (mOutcomes.empty()) {
      mContext.run_one();
    }
  }
};

TEST(NewestPages, AllPagesAreRead)
{
  mBodies = { R"({"items":[{"key":"a","value":"eA==","offset":0}],"more_pages":true,"end":2})",
              R"({"items":[{"key":"b","value":"eA==","offset":1}],"more_pages":false,"end":2})" };
  Read();
  CHECK(mOutcomes == std::vector{ StoreOutcome::Done });
  CHECK_EQUAL(2, mRecords);
}

TEST(NewestPages, PageWithoutRecordsIsNotTheLastWhileMoreFollow)
{
  mBodies = { R"({"items":[{"key":"a","value":"eA==","offset":0}],"more_pages":true,"end":2})",
              R"({"items":[],"more_pages":true,"end":2})" };
  Read();
  CHECK(mOutcomes == std::vector{ StoreOutcome::Refused });
  CHECK_EQUAL(0, mRecords);
}
