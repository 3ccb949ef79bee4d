#include "by_web/WebServer.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>

namespace by {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kServiceUnavailable = 503;

absl::Status
StatusOf(const error_code& aError)
{
  return aError ? absl::UnavailableError(aError.message()) : absl::OkStatus();
}

void
RefuseCall(const WebRequest&, const std::shared_ptr<WebSession>& aSession)
{
  aSession->Answer(kServiceUnavailable, R"({"error":"too many connections"})");
}

} // namespace

absl::StatusOr<std::shared_ptr<WebServer>>
WebServer::Create(boost::asio::io_context& aContext,
                  const Endpoint& aListen,
                  std::int64_t aMaxConnections,
                  WebSession::Handler aHandler,
                  std::vector<std::string> aKeptHeaders)
{
  std::shared_ptr<WebServer> server(
    new WebServer(aContext, aMaxConnections, std::move(aHandler), std::move(aKeptHeaders)));
  auto status = server->Listen(aListen);
  if (!status.ok()) {
    return status;
  }
  return server;
}

WebServer::WebServer(boost::asio::io_context& aContext,
                     std::int64_t aMaxConnections,
                     WebSession::Handler aHandler,
                     std::vector<std::string> aKeptHeaders)
  : mAcceptor(aContext)
  , mMaxConnections(aMaxConnections)
  , mHandler(std::move(aHandler))
  , mKeptHeaders(std::move(aKeptHeaders))
{
}

absl::Status
WebServer::Listen(const Endpoint& aListen)
{
  error_code ec;
  const auto address = boost::asio::ip::make_address(aListen.Address(), ec);
  if (ec) {
    return StatusOf(ec);
  }
  const tcp::endpoint local(address, static_cast<boost::asio::ip::port_type>(aListen.Port()));
  mAcceptor.open(local.protocol(), ec);
  if (!ec) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(local, ec);
  }
  if (!ec) {
    mAcceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return StatusOf(ec);
  }
  mListening =
    Endpoint::Create({ .mAddress = aListen.Address(), .mPort = mAcceptor.local_endpoint().port() })
      .value();
  Accept();
  return absl::OkStatus();
}

absl::Status
WebServer::Reopen()
{
  return mAcceptor.is_open() ? absl::OkStatus() : Listen(mListening);
}

void
WebServer::Accept()
{
  auto accepted = [self = weak_from_this()](error_code aError, tcp::socket aSocket) {
    const auto server = self.lock();
    if (!server || !server->mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      server->OnAccepted(std::move(aSocket));
    }
    server->Accept();
  };
  mAcceptor.async_accept(std::move(accepted));
}

void
WebServer::OnAccepted(tcp::socket aSocket)
{
  const bool hasRoom = OpenConnections() < mMaxConnections;
  mRefused += hasRoom ? 0 : 1;
  auto closed = [self = weak_from_this()](WebSession* aSession) {
    const auto server = self.lock();
    if (server) {
      server->mSessions.erase(aSession);
    }
  };
  auto session = std::make_shared<WebSession>(std::move(aSocket),
                                              mKeptHeaders,
                                              hasRoom ? mHandler : WebSession::Handler(RefuseCall),
                                              std::move(closed));
  if (hasRoom) {
    mSessions.emplace(session.get(), session);
  }
  session->Start();
}

void
WebServer::CloseIdle()
{
  std::vector<std::shared_ptr<WebSession>> open;
  for (const auto& [key, session] : mSessions) {
    open.push_back(session.lock());
  }
  for (const auto& session : open) {
    if (session) {
      session->CloseSoon();
    }
  }
}

void
WebServer::Close()
{
  error_code ignored;
  mAcceptor.close(ignored);
  std::vector<std::shared_ptr<WebSession>> open;
  for (const auto& [key, session] : mSessions) {
    open.push_back(session.lock());
  }
  for (const auto& session : open) {
    if (session) {
      session->Drop();
    }
  }
}

} // namespace by
