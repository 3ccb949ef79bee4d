#include "by_links/LinkClient.h"

#include <chrono>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "by_links/detail/LinkConnection.h"

namespace by {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// A peer that is up answers within a round trip; nodes without power never do.
constexpr std::chrono::milliseconds kConnectTimeout{ 700 };

} // namespace

std::shared_ptr<LinkClient>
LinkClient::Create(boost::asio::io_context& aContext,
                   Changed aChanged,
                   Received aReceived,
                   Counted aCounted)
{
  return std::shared_ptr<LinkClient>(
    new LinkClient(aContext, std::move(aChanged), std::move(aReceived), std::move(aCounted)));
}

LinkClient::LinkClient(boost::asio::io_context& aContext,
                       Changed aChanged,
                       Received aReceived,
                       Counted aCounted)
  : mContext(aContext)
  , mChanged(std::move(aChanged))
  , mReceived(std::move(aReceived))
  , mCounted(std::move(aCounted))
  , mTimer(aContext)
{
}

void
LinkClient::Connect(const Endpoint& aPeer)
{
  Close();
  mPeer = aPeer;
  const auto attempt = ++mTry;
  error_code ec;
  const auto address = boost::asio::ip::make_address(aPeer.Address(), ec);
  if (ec || aPeer.Port() == 0) {
    return;
  }
  auto socket = std::make_shared<tcp::socket>(mContext);
  mTimer.expires_after(kConnectTimeout);
  mTimer.async_wait([socket](error_code aError) {
    if (!aError) {
      socket->close(aError);
    }
  });
  const tcp::endpoint peer(address, static_cast<std::uint16_t>(aPeer.Port()));
  socket->async_connect(peer, [self = shared_from_this(), socket, attempt](error_code aError) {
    if (self->mTry != attempt) {
      return;
    }
    self->mTimer.cancel();
    if (aError) {
      self->mChanged(self->mPeer, attempt, false, aError == boost::asio::error::connection_refused);
      return;
    }
    self->mConnection =
      std::make_shared<detail::LinkConnection>(std::move(*socket), self->mCounted);
    const std::weak_ptr<LinkClient> weak = self;
    self->mConnection->Start(
      [weak, attempt](std::vector<LinkMessage> aMessages) {
        if (const auto link = weak.lock()) {
          link->mReceived(attempt, std::move(aMessages));
        }
      },
      [weak, attempt] {
        const auto link = weak.lock();
        if (link && link->mTry == attempt) {
          link->mConnection.reset();
          link->mChanged(link->mPeer, attempt, false, false);
        }
      });
    self->mChanged(self->mPeer, attempt, true, false);
  });
}

bool
LinkClient::Send(std::uint64_t aLink, const LinkMessage& aMessage)
{
  if (!mConnection || mTry != aLink) {
    return false;
  }
  mConnection->Send(aMessage);
  return true;
}

void
LinkClient::Close()
{
  ++mTry;
  mTimer.cancel();
  if (auto connection = std::exchange(mConnection, nullptr)) {
    connection->Close();
  }
}

} // namespace by
