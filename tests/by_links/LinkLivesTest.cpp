// A node that was killed and started again has a new link under its old name. What was meant for
// the earlier process used to leave by the new link, so that submissions were answered with answers
// to other calls and the jobs were lost.

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include "by_links/by_links.h"

using namespace by;

namespace {

LinkMessage
Reply(std::uint64_t aCall)
{
  return LinkMessage::Create({ .mBody = JobReply::Create({ .mCall = aCall }).value() }).value();
}

LinkMessage
Hello(const std::string& aNode)
{
  return LinkMessage::Create({ .mBody = LinkHello::Create({ .mNode = aNode }).value() }).value();
}

Endpoint
Loopback(std::uint16_t aPort)
{
  return Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = aPort }).value();
}

/// One process of a node: its link to the server, and what it received.
struct Process
{
  Process(boost::asio::io_context& aContext, std::string aNode)
    : mNode(std::move(aNode))
  {
    mClient = LinkClient::Create(
      aContext,
      [this](const Endpoint&, std::uint64_t aLink, bool aUp, bool) {
        if (aUp) {
          mLink = aLink;
          mClient->Send(aLink, Hello(mNode));
        }
      },
      [this](std::uint64_t, std::vector<LinkMessage> aMessages) {
        mReceived.insert(mReceived.end(), aMessages.begin(), aMessages.end());
      },
      nullptr);
  }

  std::string mNode;
  std::uint64_t mLink{ 0 };
  std::shared_ptr<LinkClient> mClient;
  std::vector<LinkMessage> mReceived;
};

} // namespace

TEST_GROUP(LinkLives)
{
  boost::asio::io_context mContext;
  std::vector<std::uint64_t> mUp;
  std::vector<std::uint64_t> mDown;
  std::vector<std::uint64_t> mSources;
  std::shared_ptr<LinkServer> mServer;

  void setup()
  {
    mServer =
      LinkServer::Create(
        mContext,
        Loopback(0),
        [this](const std::string&, std::uint64_t aLink, bool aUp) {
          (aUp ? mUp : mDown).push_back(aLink);
        },
        [this](const std::string&, std::uint64_t aLink, std::vector<LinkMessage> aMessages) {
          mSources.insert(mSources.end(), aMessages.size(), aLink);
        },
        nullptr)
        .value();
  }
  void teardown()
  {
    mServer->Close();
    mContext.restart();
    mContext.poll();
  }

  void Link(Process & aProcess)
  {
    const auto before = mUp.size();
    aProcess.mClient->Connect(Loopback(mServer->Port()));
    RunUntil([&] { return mUp.size() > before; });
  }
  template<class Condition>
  void RunUntil(const Condition& aCondition)
  {
    while (!aCondition() && mContext.run_one() > 0) {
    }
  }
};

TEST(LinkLives, MessageForAnEarlierProcessDoesNotReachTheNextOne)
{
  Process earlier(mContext, "n1");
  Process later(mContext, "n1");
  Link(earlier);
  Link(later);
  CHECK((std::vector<std::uint64_t>{ 1, 2 }) == mUp);
  CHECK((std::vector<std::uint64_t>{ 1 }) == mDown);
  CHECK_FALSE(mServer->Send("n1", 1, Reply(1)));
  CHECK(mServer->Send("n1", 2, Reply(2)));
  RunUntil([&] { return !later.mReceived.empty(); });
  CHECK(std::vector{ Reply(2) } == later.mReceived);
  CHECK(earlier.mReceived.empty());
  later.mClient->Close();
}

TEST(LinkLives, LinksOfOneNameAreToldApart)
{
  Process earlier(mContext, "n1");
  Process other(mContext, "n2");
  Process later(mContext, "n1");
  Link(earlier);
  Link(other);
  Link(later);
  CHECK_FALSE(mServer->Send("n2", 3, Reply(1)));
  CHECK(mServer->Send("n2", 2, Reply(1)));
  later.mClient->Send(later.mLink, Reply(5));
  RunUntil([&] { return mSources.size() == 4; });
  CHECK((std::vector<std::uint64_t>{ 1, 2, 3, 3 }) == mSources);
  later.mClient->Close();
  other.mClient->Close();
}

TEST(LinkLives, MessageForAnEarlierLinkToTheOwnerIsDropped)
{
  Process node(mContext, "n1");
  Link(node);
  const auto first = node.mLink;
  Link(node);
  CHECK(node.mLink != first);
  CHECK_FALSE(node.mClient->Send(first, Reply(1)));
  CHECK(node.mClient->Send(node.mLink, Reply(2)));
  node.mClient->Close();
}
