#include "by_wire/detail/OutgoingLink.h"

#include <chrono>

#include <boost/asio/write.hpp>

#include "by_schema/NodeEvent.h"
#include "by_wire/LengthPrefix.h"
#include "by_wire/WireCodec.h"

namespace by::detail {

namespace {

constexpr std::size_t kQueueLimit = 20000;
constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };

RequestId
ForwardedId(const Frame& aFrame)
{
  const auto* forwarded = std::get_if<ForwardedRequest>(&aFrame.Body());
  return forwarded == nullptr ? RequestId() : forwarded->Request().Id();
}

} // namespace

OutgoingLink::OutgoingLink(boost::asio::io_context& aContext,
                           PeerSettings aPeer,
                           const WireHooks& aHooks)
  : mContext(aContext)
  , mPeer(std::move(aPeer))
  , mHooks(aHooks)
  , mSocket(aContext)
  , mConnectTimer(aContext)
{
}

void
OutgoingLink::Send(const Frame& aFrame)
{
  Queued queued{ ForwardedId(aFrame), WithLength(EncodeFrame(aFrame)) };
  if (mQueue.size() >= kQueueLimit) {
    ReportUnsent({ std::move(queued) });
    return;
  }
  mQueue.push_back(std::move(queued));
  if (mConnected) {
    WriteNext();
  } else {
    Connect();
  }
}

void
OutgoingLink::Close()
{
  boost::system::error_code ec;
  mSocket.close(ec);
  mConnectTimer.cancel();
  mQueue.clear();
  mConnected = false;
}

void
OutgoingLink::Connect()
{
  if (mConnecting) {
    return;
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(mPeer.Wire().Address(), ec);
  if (ec) {
    Fail();
    return;
  }
  mConnecting = true;
  const auto attempt = ++mTry;
  mSocket = boost::asio::ip::tcp::socket(mContext);
  mConnectTimer.expires_after(kConnectTimeout);
  mConnectTimer.async_wait([self = shared_from_this(), attempt](boost::system::error_code aError) {
    if (!aError && self->mConnecting && self->mTry == attempt) {
      self->mSocket.close(aError);
    }
  });
  const boost::asio::ip::tcp::endpoint endpoint(address,
                                                static_cast<std::uint16_t>(mPeer.Wire().Port()));
  mSocket.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code aError) {
    self->mConnecting = false;
    self->mConnectTimer.cancel();
    if (aError) {
      self->Fail();
      return;
    }
    boost::system::error_code ignored;
    self->mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    self->mConnected = true;
    self->WatchForClose(self->mTry);
    self->WriteNext();
  });
}

void
OutgoingLink::WatchForClose(std::uint64_t aTry)
{
  mSocket.async_read_some(
    boost::asio::buffer(mUnexpected),
    [self = shared_from_this(), aTry](boost::system::error_code aError, std::size_t) {
      if (self->mTry != aTry || !self->mConnected) {
        return;
      }
      if (aError) {
        self->Fail();
      } else {
        self->WatchForClose(aTry);
      }
    });
}

void
OutgoingLink::WriteNext()
{
  if (mWriting || mQueue.empty()) {
    return;
  }
  mWriting = true;
  const auto bytes = std::make_shared<std::string>(std::move(mQueue.front().mBytes));
  mQueue.pop_front();
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(*bytes),
    [self = shared_from_this(), bytes](boost::system::error_code aError, std::size_t aCount) {
      self->mWriting = false;
      if (self->mHooks.mBytesOut) {
        self->mHooks.mBytesOut(aCount);
      }
      if (aError) {
        self->Fail();
        return;
      }
      self->WriteNext();
    });
}

void
OutgoingLink::Fail()
{
  mConnected = false;
  boost::system::error_code ec;
  mSocket.close(ec);
  ReportUnsent(std::exchange(mQueue, {}));
}

void
OutgoingLink::ReportUnsent(const std::deque<Queued>& aUnsent)
{
  PeerUnreachable::Fields fields{ .mPeer = mPeer.Node() };
  for (const auto& queued : aUnsent) {
    if (!queued.mRequest.IsEmpty()) {
      fields.mUnsent.push_back(queued.mRequest);
    }
  }
  mHooks.mDeliver(
    NodeEvent::Create({ .mBody = PeerUnreachable::Create(std::move(fields)).value() }).value());
}

} // namespace by::detail
