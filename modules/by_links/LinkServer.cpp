#include "by_links/LinkServer.h"

#include <utility>

#include <boost/asio/ip/address.hpp>

#include "by_links/detail/LinkConnection.h"

namespace by {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace

absl::StatusOr<std::shared_ptr<LinkServer>>
LinkServer::Create(boost::asio::io_context& aContext,
                   const Endpoint& aListen,
                   Changed aChanged,
                   Received aReceived,
                   Counted aCounted)
{
  std::shared_ptr<LinkServer> server(
    new LinkServer(aContext, std::move(aChanged), std::move(aReceived), std::move(aCounted)));
  const auto status = server->Listen(aListen);
  if (!status.ok()) {
    return status;
  }
  return server;
}

LinkServer::LinkServer(boost::asio::io_context& aContext,
                       Changed aChanged,
                       Received aReceived,
                       Counted aCounted)
  : mAcceptor(aContext)
  , mChanged(std::move(aChanged))
  , mReceived(std::move(aReceived))
  , mCounted(std::move(aCounted))
{
}

absl::Status
LinkServer::Listen(const Endpoint& aListen)
{
  error_code ec;
  const auto address = boost::asio::ip::make_address(aListen.Address(), ec);
  const tcp::endpoint local(address, static_cast<std::uint16_t>(aListen.Port()));
  if (!ec) {
    mAcceptor.open(local.protocol(), ec);
  }
  if (!ec) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(local, ec);
  }
  if (!ec) {
    mAcceptor.listen(tcp::acceptor::max_listen_connections, ec);
  }
  if (ec) {
    return absl::UnavailableError("links: " + ec.message());
  }
  mPort = mAcceptor.local_endpoint().port();
  Accept();
  return absl::OkStatus();
}

void
LinkServer::Accept()
{
  mAcceptor.async_accept([weak = weak_from_this()](error_code aError, tcp::socket aSocket) {
    const auto self = weak.lock();
    if (!self || !self->mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      auto connection =
        std::make_shared<detail::LinkConnection>(std::move(aSocket), self->mCounted);
      auto peer = std::make_shared<Peer>();
      self->mOpen.insert(connection);
      std::weak_ptr<detail::LinkConnection> held = connection;
      connection->Start(
        [weak, held, peer](std::vector<LinkMessage> aMessages) {
          const auto server = weak.lock();
          const auto link = held.lock();
          if (server && link) {
            server->Take(link, *peer, std::move(aMessages));
          }
        },
        [weak, held, peer] {
          const auto server = weak.lock();
          const auto link = held.lock();
          if (server && link) {
            server->Forget(link, *peer);
          }
        });
    }
    self->Accept();
  });
}

void
LinkServer::Take(const std::shared_ptr<detail::LinkConnection>& aConnection,
                 Peer& aPeer,
                 std::vector<LinkMessage> aMessages)
{
  if (!aPeer.mNode.empty()) {
    mReceived(aPeer.mNode, aPeer.mLink, std::move(aMessages));
    return;
  }
  const auto* hello = std::get_if<LinkHello>(&aMessages.front().Body());
  if (hello == nullptr || hello->Node().empty()) {
    mOpen.erase(aConnection);
    aConnection->Close();
    return;
  }
  aPeer = { .mNode = hello->Node(), .mLink = ++mLastLink };
  auto& link = mLinks[aPeer.mNode];
  if (link.mConnection) {
    mOpen.erase(link.mConnection);
    link.mConnection->Close();
    mChanged(aPeer.mNode, link.mNumber, false);
  }
  link = { .mNumber = aPeer.mLink, .mConnection = aConnection };
  mChanged(aPeer.mNode, aPeer.mLink, true);
  mReceived(aPeer.mNode, aPeer.mLink, std::move(aMessages));
}

void
LinkServer::Forget(const std::shared_ptr<detail::LinkConnection>& aConnection, const Peer& aPeer)
{
  mOpen.erase(aConnection);
  const auto it = mLinks.find(aPeer.mNode);
  if (it != mLinks.end() && it->second.mConnection == aConnection) {
    mLinks.erase(it);
    mChanged(aPeer.mNode, aPeer.mLink, false);
  }
}

bool
LinkServer::Send(const std::string& aNode, std::uint64_t aLink, const LinkMessage& aMessage)
{
  const auto it = mLinks.find(aNode);
  if (it == mLinks.end() || it->second.mNumber != aLink) {
    return false;
  }
  it->second.mConnection->Send(aMessage);
  return true;
}

void
LinkServer::Close()
{
  error_code ignored;
  mAcceptor.close(ignored);
  for (const auto& link : std::exchange(mOpen, {})) {
    link->Close();
  }
  mLinks.clear();
}

} // namespace by
