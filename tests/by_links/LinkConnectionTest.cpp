// Several messages may arrive in one read and one message in several; a receiver that takes a read
// for a message loses or mixes up what the peer sent. A peer that sends something else is cut off
// after the messages before it were handed on.

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "by_links/by_links.h"
#include "by_links/detail/LinkConnection.h"
#include "by_wire/LengthPrefix.h"

using namespace by;

namespace {

using boost::asio::ip::tcp;

LinkMessage
Heartbeat(std::uint64_t aEpoch)
{
  return LinkMessage::Create({ .mBody = LinkHeartbeat::Create({ .mEpoch = aEpoch }).value() })
    .value();
}

/// A message of about a megabyte, which does not fit into one read.
LinkMessage
LargeMessage()
{
  return LinkMessage::Create(
           { .mBody = LinkHello::Create({ .mNode = std::string(1000000, 'n') }).value() })
    .value();
}

std::string
Framed(const LinkMessage& aMessage)
{
  return WithLength(EncodeMessage(aMessage));
}

} // namespace

TEST_GROUP(LinkConnection)
{
  boost::asio::io_context mContext;
  tcp::socket mPeer{ mContext };
  std::shared_ptr<detail::LinkConnection> mConnection;
  std::vector<std::vector<LinkMessage>> mReads;
  std::size_t mMessages{ 0 };
  std::size_t mCountedMessages{ 0 };
  std::size_t mCountedBytes{ 0 };
  bool mIsClosed{ false };

  void setup()
  {
    tcp::acceptor acceptor(mContext, { boost::asio::ip::address_v4::loopback(), 0 });
    mPeer.connect(acceptor.local_endpoint());
    mConnection = std::make_shared<detail::LinkConnection>(
      acceptor.accept(), [this](LinkDirection, std::size_t aMessages, std::size_t aBytes) {
        mCountedMessages += aMessages;
        mCountedBytes += aBytes;
      });
  }
  void teardown()
  {
    mConnection->Close();
    mContext.restart();
    mContext.poll();
  }

  void Write(const std::string& aBytes)
  {
    boost::asio::write(mPeer, boost::asio::buffer(aBytes));
  }
  void Start()
  {
    mConnection->Start(
      [this](std::vector<LinkMessage> aMessages) {
        mMessages += aMessages.size();
        mReads.push_back(std::move(aMessages));
      },
      [this] { mIsClosed = true; });
  }
  std::vector<LinkMessage> AllMessages() const
  {
    std::vector<LinkMessage> all;
    for (const auto& read : mReads) {
      all.insert(all.end(), read.begin(), read.end());
    }
    return all;
  }
  void RunUntilMessages(std::size_t aCount)
  {
    while (mMessages < aCount && mContext.run_one() > 0) {
    }
  }
  void RunUntilClosed()
  {
    while (!mIsClosed && mContext.run_one() > 0) {
    }
  }
};

TEST(LinkConnection, HandsOnAllMessagesOfOneReadTogether)
{
  Write(Framed(Heartbeat(1)) + Framed(Heartbeat(2)) + Framed(Heartbeat(3)));
  Start();
  RunUntilMessages(3);
  CHECK_EQUAL(1U, mReads.size());
  CHECK((std::vector{ Heartbeat(1), Heartbeat(2), Heartbeat(3) }) == mReads[0]);
}

TEST(LinkConnection, PutsAMessageTogetherFromSeveralReads)
{
  Start();
  const auto bytes = Framed(Heartbeat(1)) + Framed(Heartbeat(2));
  for (const char byte : bytes) {
    Write(std::string(1, byte));
    mContext.poll();
  }
  RunUntilMessages(2);
  CHECK((std::vector{ Heartbeat(1), Heartbeat(2) }) == AllMessages());
}

TEST(LinkConnection, TakesAMessageThatIsLargerThanARead)
{
  auto other = std::make_shared<detail::LinkConnection>(std::move(mPeer));
  other->Start([](const std::vector<LinkMessage>&) {}, [] {});
  Start();
  other->Send(Heartbeat(1));
  other->Send(LargeMessage());
  other->Send(Heartbeat(2));
  RunUntilMessages(3);
  CHECK((std::vector{ Heartbeat(1), LargeMessage(), Heartbeat(2) }) == AllMessages());
  other->Close();
}

TEST(LinkConnection, MessagesOfOneHandlerArriveInTheirOrder)
{
  auto other = std::make_shared<detail::LinkConnection>(std::move(mPeer));
  other->Start([](const std::vector<LinkMessage>&) {}, [] {});
  Start();
  constexpr std::uint64_t kCount = 1000;
  for (std::uint64_t epoch = 0; epoch < kCount; ++epoch) {
    other->Send(Heartbeat(epoch));
  }
  RunUntilMessages(kCount);
  std::uint64_t epoch = 0;
  for (const auto& message : AllMessages()) {
    CHECK(Heartbeat(epoch++) == message);
  }
  CHECK_EQUAL(kCount, epoch);
  other->Close();
}

TEST(LinkConnection, CountsMessagesAndTheirBytes)
{
  std::size_t messages = 0;
  std::size_t bytes = 0;
  auto other = std::make_shared<detail::LinkConnection>(
    std::move(mPeer), [&](LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes) {
      CHECK(aDirection == LinkDirection::Sent);
      messages += aMessages;
      bytes += aBytes;
    });
  other->Start([](const std::vector<LinkMessage>&) {}, [] {});
  Start();
  other->Send(Heartbeat(1));
  other->Send(LargeMessage());
  RunUntilMessages(2);
  CHECK_EQUAL(2U, messages);
  CHECK_EQUAL(Framed(Heartbeat(1)).size() + Framed(LargeMessage()).size(), bytes);
  CHECK_EQUAL(messages, mCountedMessages);
  CHECK_EQUAL(bytes, mCountedBytes);
  other->Close();
}

TEST(LinkConnection, EndsAfterTheMessagesBeforeOneThatCannotBeDecoded)
{
  Write(Framed(Heartbeat(1)) + WithLength("no message") + Framed(Heartbeat(2)));
  Start();
  RunUntilClosed();
  CHECK(mIsClosed);
  CHECK_EQUAL(1U, mMessages);
}

TEST(LinkConnection, EndsAtALengthOverTheLimit)
{
  Write(Framed(Heartbeat(1)) + std::string("\x7f\xff\xff\xff"));
  Start();
  RunUntilClosed();
  CHECK(mIsClosed);
  CHECK_EQUAL(1U, mMessages);
}

TEST(LinkConnection, EndsWithThePeer)
{
  Write(Framed(Heartbeat(1)) + "\x01");
  mPeer.close();
  Start();
  RunUntilClosed();
  CHECK(mIsClosed);
  CHECK_EQUAL(1U, mMessages);
}
