#include "by_links/detail/LinkConnection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "by_links/RecordCodec.h"

namespace by::detail {

namespace {

using boost::system::error_code;

/// A peer that does not read for so many messages is given up.
constexpr std::size_t kQueueLimit = 20000;
/// The largest message is one job; a longer length is not one of ours.
constexpr std::size_t kMessageLimit = 16UL * 1024 * 1024;

} // namespace

LinkConnection::LinkConnection(boost::asio::ip::tcp::socket aSocket)
  : mSocket(std::move(aSocket))
{
}

void
LinkConnection::Start(Received aReceived, Closed aClosed)
{
  mReceived = std::move(aReceived);
  mClosed = std::move(aClosed);
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ReadLength();
}

void
LinkConnection::Send(const LinkMessage& aMessage)
{
  if (mQueue.size() >= kQueueLimit) {
    Fail();
    return;
  }
  mQueue.push_back(WithLength(EncodeMessage(aMessage)));
  if (!mWriting) {
    WriteNext();
  }
}

void
LinkConnection::Close()
{
  mReceived = nullptr;
  mClosed = nullptr;
  error_code ignored;
  mSocket.close(ignored);
}

void
LinkConnection::ReadLength()
{
  auto read = [self = shared_from_this()](error_code aError, std::size_t) {
    const auto n = BigEndian(self->mLength);
    if (aError || n > kMessageLimit) {
      self->Fail();
      return;
    }
    self->ReadBody(n);
  };
  boost::asio::async_read(mSocket, boost::asio::buffer(mLength), std::move(read));
}

void
LinkConnection::ReadBody(std::size_t aLength)
{
  mBody.resize(aLength);
  auto read = [self = shared_from_this()](error_code aError, std::size_t) {
    const auto message = aError ? absl::InvalidArgumentError("broken") : DecodeMessage(self->mBody);
    if (!message.ok()) {
      self->Fail();
      return;
    }
    // The handler may close the connection, which drops the handler itself.
    const auto received = self->mReceived;
    if (received) {
      received(*message);
    }
    self->ReadLength();
  };
  boost::asio::async_read(mSocket, boost::asio::buffer(mBody), std::move(read));
}

void
LinkConnection::WriteNext()
{
  if (mQueue.empty()) {
    return;
  }
  mWriting = true;
  // Messages that queued up leave in one write.
  mWritten.clear();
  for (const auto& message : mQueue) {
    mWritten += message;
  }
  mQueue.clear();
  auto written = [self = shared_from_this()](error_code aError, std::size_t) {
    self->mWriting = false;
    if (aError) {
      self->Fail();
      return;
    }
    self->WriteNext();
  };
  boost::asio::async_write(mSocket, boost::asio::buffer(mWritten), std::move(written));
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
