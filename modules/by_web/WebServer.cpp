#include "by_web/WebServer.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "by_web/CallLimits.h"

namespace by {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kServiceUnavailable = 503;
/// Spaces out attempts to accept after a failure, such as a lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
/// Idle connections that are looked at for one that can give way; others have a call in the kernel.
constexpr int kMostTries = 16;

absl::Status
StatusOf(const error_code& aError)
{
  return aError ? absl::UnavailableError(aError.message()) : absl::OkStatus();
}

} // namespace

absl::StatusOr<std::shared_ptr<WebServer>>
WebServer::Create(boost::asio::io_context& aContext,
                  const Endpoint& aListen,
                  const WebCapacity& aCapacity,
                  WebSession::Handler aHandler,
                  std::vector<std::string> aKeptHeaders,
                  WebSession::Unanswered aUnanswered,
                  std::function<void(Refusal)> aRefused)
{
  std::shared_ptr<WebServer> server(new WebServer(aContext, aCapacity));
  auto& shared = *server->mShared;
  shared.mHandler = std::move(aHandler);
  shared.mKeptHeaders = std::move(aKeptHeaders);
  shared.mUnanswered = std::move(aUnanswered);
  shared.mRefused = aRefused ? std::move(aRefused) : [](Refusal) {};
  shared.mClosed = [self = server->weak_from_this()](WebSession* aSession) {
    if (const auto open = self.lock()) {
      open->OnClosed(aSession);
    }
  };
  shared.mOutOfMemory = [self = server->weak_from_this()] {
    if (const auto open = self.lock()) {
      open->RefuseLargestCall();
    }
  };
  auto status = server->Listen(aListen);
  if (!status.ok()) {
    return status;
  }
  return server;
}

WebServer::WebServer(boost::asio::io_context& aContext, const WebCapacity& aCapacity)
  : mAcceptor(aContext)
  , mAcceptPause(aContext)
  , mCapacity(aCapacity)
  , mShared(std::make_shared<detail::WebShared>())
{
  mShared->mLimits = WithDefaults({});
  mShared->mCallBytesLimit = static_cast<std::size_t>(aCapacity.mCallBytes);
}

void
WebServer::SetLimits(const ConnectionLimits& aLimits)
{
  mShared->mLimits = WithDefaults(aLimits);
  for (const auto& session : OpenSessions()) {
    session->ApplyLimits();
  }
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
  if (OpenConnections() >= mCapacity.mConnections) {
    MakeRoom();
  }
  const bool hasRoom = OpenConnections() < mCapacity.mConnections;
  mRefused += hasRoom ? 0 : 1;
  if (OpenConnections() >= mCapacity.mConnections + mCapacity.mRefusals && !hasRoom) {
    mShared->mRefused(Refusal::TooManyConnections);
    return;
  }
  auto session = std::make_shared<WebSession>(std::move(aSocket), mShared);
  mSessions.emplace(session.get(), session);
  if (!hasRoom) {
    session->StartRefusal(Refusal::TooManyConnections);
    return;
  }
  if (mClosesAfterAnswers) {
    session->CloseAfterAnswer();
  }
  session->Start();
  if (mIsFinishing) {
    session->Finish();
  }
}

void
WebServer::MakeRoom()
{
  auto& idle = mShared->mIdle;
  int tries = 0;
  for (auto it = idle.begin(); it != idle.end() && tries < kMostTries; ++tries) {
    // The session that gives way takes itself out of the list.
    if ((*it++)->GiveWay()) {
      return;
    }
  }
}

void
WebServer::RefuseLargestCall()
{
  std::shared_ptr<WebSession> largest;
  for (const auto& [key, session] : mSessions) {
    if (!largest || session->HeldBytes() > largest->HeldBytes()) {
      largest = session;
    }
  }
  if (largest && largest->HeldBytes() > 0) {
    largest->Refuse(kServiceUnavailable, Refusal::OutOfMemory);
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
