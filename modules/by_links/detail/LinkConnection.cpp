#include "by_links/detail/LinkConnection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "by_links/RecordCodec.h"
#include "by_links/detail/SplitMessages.h"
#include "by_wire/LengthPrefix.h"

namespace by::detail {

namespace {

using boost::system::error_code;

/// A peer that does not read for so many messages is given up.
constexpr std::size_t kQueueLimit = 20000;

} // namespace

LinkConnection::LinkConnection(boost::asio::ip::tcp::socket aSocket, Counted aCounted)
  : mSocket(std::move(aSocket))
  , mCounted(std::move(aCounted))
{
}

void
LinkConnection::Start(Received aReceived, Closed aClosed)
{
  mReceived = std::move(aReceived);
  mClosed = std::move(aClosed);
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void
LinkConnection::Send(const LinkMessage& aMessage)
{
  if (mQueued >= kQueueLimit) {
    Fail();
    return;
  }
  mQueue += WithLength(EncodeMessage(aMessage));
  ++mQueued;
  if (!std::exchange(mWriting, true)) {
    boost::asio::post(mSocket.get_executor(), [self = shared_from_this()] { self->Write(); });
  }
}

void
LinkConnection::Close()
{
  mReceived = nullptr;
  mClosed = nullptr;
  error_code ignored;
  if (mWritten.empty() && !mQueue.empty()) {
    // The last messages still leave, as far as the socket takes them without waiting.
    mSocket.non_blocking(true, ignored);
    mSocket.write_some(boost::asio::buffer(mQueue), ignored);
    mQueue.clear();
  }
  mSocket.close(ignored);
}

void
LinkConnection::Read()
{
  MakeRoom(mInput);
  auto read = [self = shared_from_this()](error_code aError, std::size_t aSize) {
    if (aError) {
      self->Fail();
      return;
    }
    self->mInput.mEnd += aSize;
    self->TakeMessages(aSize);
  };
  mSocket.async_read_some(
    boost::asio::buffer(mInput.mBytes.data() + mInput.mEnd, mInput.mBytes.size() - mInput.mEnd),
    std::move(read));
}

void
LinkConnection::TakeMessages(std::size_t aReceived)
{
  std::vector<LinkMessage> messages;
  const auto status = SplitMessages(mInput, messages);
  Count(LinkDirection::Received, messages.size(), aReceived);
  // The handler may close the connection, which drops the handler itself.
  const auto received = mReceived;
  if (received && !messages.empty()) {
    received(std::move(messages));
  }
  if (!status.ok()) {
    Fail();
    return;
  }
  Read();
}

void
LinkConnection::Write()
{
  if (mQueue.empty()) {
    mWriting = false;
    return;
  }
  mWritten.clear();
  std::swap(mWritten, mQueue);
  Count(LinkDirection::Sent, std::exchange(mQueued, 0), mWritten.size());
  auto written = [self = shared_from_this()](error_code aError, std::size_t) {
    if (aError) {
      self->mWriting = false;
      self->Fail();
      return;
    }
    self->mWritten.clear();
    self->Write();
  };
  boost::asio::async_write(mSocket, boost::asio::buffer(mWritten), std::move(written));
}

void
LinkConnection::Count(LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes) const
{
  if (mCounted) {
    mCounted(aDirection, aMessages, aBytes);
  }
}

void
LinkConnection::Fail()
{
  error_code ignored;
  mSocket.close(ignored);
  auto closed = std::exchange(mClosed, nullptr);
  mReceived = nullptr;
  if (closed) {
    closed();
  }
}

} // namespace by::detail
