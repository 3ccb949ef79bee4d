#include "by_wire/detail/PeerLinksBody.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/read.hpp>

#include "absl/strings/str_cat.h"

#include "by_wire/LengthPrefix.h"
#include "by_wire/WireCodec.h"
#include "by_wire/detail/OutgoingLink.h"

namespace by::detail {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::size_t kFrameLimit = 64UL * 1024 * 1024;
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

} // namespace

PeerLinksBody::PeerLinksBody(boost::asio::io_context& aContext,
                             NodeSettings aSettings,
                             WireHooks aHooks)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mDatagrams(aContext)
  , mAcceptor(aContext)
  , mAcceptTimer(aContext)
{
}

absl::Status
PeerLinksBody::Open()
{
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(mSettings.Wire().Address(), ec);
  if (ec) {
    return absl::InvalidArgumentError(absl::StrCat("wire.address: ", ec.message()));
  }
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(mSettings.Wire().Port()));
  mAcceptor.open(endpoint.protocol(), ec);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  mAcceptor.bind(endpoint, ec);
  if (!ec) {
    mAcceptor.listen(tcp::acceptor::max_listen_connections, ec);
  }
  if (ec) {
    return absl::UnavailableError(absl::StrCat("wire over TCP: ", ec.message()));
  }
  mPort = mAcceptor.local_endpoint().port();
  const udp::endpoint datagrams(address, mPort);
  mDatagrams.open(datagrams.protocol(), ec);
  mDatagrams.bind(datagrams, ec);
  if (ec) {
    return absl::UnavailableError(absl::StrCat("wire over UDP: ", ec.message()));
  }
  for (const auto& peer : mSettings.Peers()) {
    mLinks[peer.Node()] = std::make_shared<OutgoingLink>(mContext, peer, mHooks);
  }
  ReceiveDatagram();
  Accept();
  return absl::OkStatus();
}

void
PeerLinksBody::SendHeartbeats(const Heartbeat& aHeartbeat)
{
  const auto bytes = EncodeHeartbeat(aHeartbeat);
  for (const auto& peer : mSettings.Peers()) {
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(peer.Wire().Address(), ec);
    if (ec) {
      continue;
    }
    const udp::endpoint to(address, static_cast<std::uint16_t>(peer.Wire().Port()));
    const auto n = mDatagrams.send_to(boost::asio::buffer(bytes), to, 0, ec);
    if (!ec && mHooks.mBytesOut) {
      mHooks.mBytesOut(n);
    }
  }
}

void
PeerLinksBody::SendTo(const SendFrame& aEffect)
{
  const auto it = mLinks.find(aEffect.Peer());
  if (it != mLinks.end() && !mClosed) {
    it->second->Send(aEffect.Frame());
  }
}

void
PeerLinksBody::Close()
{
  mClosed = true;
  boost::system::error_code ec;
  mDatagrams.close(ec);
  mAcceptor.close(ec);
  mAcceptTimer.cancel();
  for (auto& [node, link] : mLinks) {
    link->Close();
  }
  for (const auto& weak : mIncoming) {
    if (const auto incoming = weak.lock()) {
      incoming->mSocket.close(ec);
    }
  }
}

void
PeerLinksBody::ReceiveDatagram()
{
  mDatagrams.async_receive_from(
    boost::asio::buffer(mDatagram),
    mSender,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t aCount) {
      if (self->mClosed || aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (self->mHooks.mBytesIn) {
        self->mHooks.mBytesIn(aCount);
      }
      auto beat = DecodeHeartbeat(std::string_view(self->mDatagram.data(), aCount));
      if (!aError && beat.ok() && self->IsPeer(beat->Node())) {
        self->mHooks.mDeliver(
          NodeEvent::Create({ .mBody = PeerHeartbeat::Create({ .mHeartbeat = *beat }).value() })
            .value());
      }
      self->ReceiveDatagram();
    });
}

void
PeerLinksBody::Accept()
{
  mAcceptor.async_accept(
    [self = shared_from_this()](boost::system::error_code aError, tcp::socket aSocket) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->AcceptLater();
        return;
      }
      auto incoming = std::make_shared<Incoming>(std::move(aSocket));
      std::erase_if(self->mIncoming, [](const auto& aWeak) { return aWeak.expired(); });
      self->mIncoming.push_back(incoming);
      self->ReadLength(incoming);
      self->Accept();
    });
}

void
PeerLinksBody::AcceptLater()
{
  mAcceptTimer.expires_after(kAcceptPause);
  mAcceptTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->mClosed) {
      self->Accept();
    }
  });
}

void
PeerLinksBody::ReadLength(const std::shared_ptr<Incoming>& aIncoming)
{
  boost::asio::async_read(
    aIncoming->mSocket,
    boost::asio::buffer(aIncoming->mLength),
    [self = shared_from_this(), aIncoming](boost::system::error_code aError, std::size_t) {
      const auto n = BigEndian(aIncoming->mLength);
      if (!aError && n <= kFrameLimit) {
        self->ReadFrame(aIncoming, n);
      }
    });
}

void
PeerLinksBody::ReadFrame(const std::shared_ptr<Incoming>& aIncoming, std::size_t aLength)
{
  aIncoming->mFrame.resize(aLength);
  boost::asio::async_read(
    aIncoming->mSocket,
    boost::asio::buffer(aIncoming->mFrame),
    [self = shared_from_this(), aIncoming](boost::system::error_code aError, std::size_t aCount) {
      if (aError) {
        return;
      }
      if (self->mHooks.mBytesIn) {
        self->mHooks.mBytesIn(aCount + aIncoming->mLength.size());
      }
      self->DeliverFrame(aIncoming->mFrame);
      self->ReadLength(aIncoming);
    });
}

void
PeerLinksBody::DeliverFrame(const std::string& aBytes)
{
  auto frame = DecodeFrame(aBytes);
  if (frame.ok() && IsPeer(frame->From())) {
    mHooks.mDeliver(
      NodeEvent::Create({ .mBody = PeerFrame::Create({ .mFrame = *std::move(frame) }).value() })
        .value());
  }
}

bool
PeerLinksBody::IsPeer(const NodeId& aNode) const
{
  return mLinks.contains(aNode);
}

} // namespace by::detail
