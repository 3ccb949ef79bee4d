#include "by_web/WebServer.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace by {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kServiceUnavailable = 503;
/// Spaces out attempts to accept after a failure, such as a lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

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
                  std::vector<std::string> aKeptHeaders,
                  WebSession::Unanswered aUnanswered)
{
  std::shared_ptr<WebServer> server(new WebServer(aContext,
                                                  aMaxConnections,
                                                  std::move(aHandler),
                                                  std::move(aKeptHeaders),
                                                  std::move(aUnanswered)));
  auto status = server->Listen(aListen);
  if (!status.ok()) {
    return status;
  }
  return server;
}

WebServer::WebServer(boost::asio::io_context& aContext,
                     std::int64_t aMaxConnections,
                     WebSession::Handler aHandler,
                     std::vector<std::string> aKeptHeaders,
                     WebSession::Unanswered aUnanswered)
  : mAcceptor(aContext)
  , mAcceptPause(aContext)
  , mMaxConnections(aMaxConnections)
  , mHandler(std::move(aHandler))
  , mKeptHeaders(std::move(aKeptHeaders))
  , mUnanswered(std::move(aUnanswered))
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
  mIsClosed = false;
  return mAcceptor.is_open() ? absl::OkStatus() : Listen(mListening);
}

void
WebServer::Accept()
{
  auto accepted = [self = weak_from_this()](error_code aError, tcp::socket aSocket) {
    const auto server = self.lock();
    if (!server) {
      return;
    }
    // A connection may have been accepted just before the listener was closed.
    if (!aError && !server->mIsClosed) {
      server->OnAccepted(std::move(aSocket));
    }
    if (!server->mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      server->PauseAccepting();
    } else {
      server->Accept();
    }
  };
  mAcceptor.async_accept(std::move(accepted));
}

void
WebServer::PauseAccepting()
{
  mAcceptPause.expires_after(kAcceptPause);
  mAcceptPause.async_wait([self = weak_from_this()](error_code aError) {
    const auto server = self.lock();
    if (server && !aError && server->mAcceptor.is_open()) {
      server->Accept();
    }
  });
}

void
WebServer::AcceptQueued()
{
  error_code ec;
  mAcceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(mAcceptor.get_executor());
    mAcceptor.accept(socket, ec);
    if (!ec) {
      OnAccepted(std::move(socket));
    }
  }
}

void
WebServer::OnAccepted(tcp::socket aSocket)
{
  const bool hasRoom = OpenConnections() < mMaxConnections;
  mRefused += hasRoom ? 0 : 1;
  auto closed = [self = weak_from_this()](WebSession* aSession) {
    if (const auto server = self.lock()) {
      server->OnClosed(aSession);
    }
  };
  auto session = std::make_shared<WebSession>(std::move(aSocket),
                                              mKeptHeaders,
                                              hasRoom ? mHandler : WebSession::Handler(RefuseCall),
                                              std::move(closed),
                                              mUnanswered);
  mSessions.emplace(session.get(), session);
  if (mClosesAfterAnswers || !hasRoom) {
    session->CloseAfterAnswer();
  }
  session->Start();
  if (mIsFinishing) {
    session->Finish();
  }
}

void
WebServer::OnClosed(WebSession* aSession)
{
  mSessions.erase(aSession);
  TellIfFinished();
}

std::vector<std::shared_ptr<WebSession>>
WebServer::OpenSessions() const
{
  std::vector<std::shared_ptr<WebSession>> open;
  open.reserve(mSessions.size());
  for (const auto& [key, session] : mSessions) {
    open.push_back(session);
  }
  return open;
}

void
WebServer::CloseAfterAnswers()
{
  mClosesAfterAnswers = true;
  for (const auto& session : OpenSessions()) {
    session->CloseAfterAnswer();
  }
}

void
WebServer::Finish(std::function<void()> aFinished)
{
  mClosesAfterAnswers = true;
  mIsFinishing = true;
  mFinished = std::move(aFinished);
  for (const auto& session : OpenSessions()) {
    session->Finish();
  }
  // The kernel resets connections that were not accepted when their listener closes.
  AcceptQueued();
  error_code ignored;
  mAcceptor.close(ignored);
  // Behind the handler of a connection that was accepted before.
  boost::asio::post(mAcceptor.get_executor(), [self = weak_from_this()] {
    if (const auto server = self.lock()) {
      server->mListenerIsDone = true;
      server->TellIfFinished();
    }
  });
}

void
WebServer::TellIfFinished()
{
  if (mListenerIsDone && mSessions.empty() && mFinished) {
    std::exchange(mFinished, nullptr)();
  }
}

void
WebServer::Close()
{
  mIsClosed = true;
  error_code ignored;
  mAcceptor.close(ignored);
  for (const auto& session : OpenSessions()) {
    session->Drop("connections closed");
  }
}

} // namespace by
