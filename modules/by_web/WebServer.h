#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/Endpoint.h"
#include "by_web/WebCapacity.h"
#include "by_web/WebSession.h"
#include "by_web/detail/WebShared.h"

namespace by {

/// Takes HTTP/1.1 calls on one port.
///
/// Everything runs on the thread that runs the io_context.
class WebServer : public std::enable_shared_from_this<WebServer>
{
public:
  /// Listens.
  /// @param aListen port 0 lets the system choose one.
  /// @param aKeptHeaders names of the headers that calls are given with.
  /// @param aUnanswered told of each call that ended without its answer.
  /// @param aRefused told of each call that was not read, and of each connection that a limit
  ///   closed.
  /// @returns the server, or Unavailable where the port can't be had.
  static absl::StatusOr<std::shared_ptr<WebServer>> Create(
    boost::asio::io_context& aContext,
    const Endpoint& aListen,
    const WebCapacity& aCapacity,
    WebSession::Handler aHandler,
    std::vector<std::string> aKeptHeaders = {},
    WebSession::Unanswered aUnanswered = nullptr,
    std::function<void(Refusal)> aRefused = nullptr);

  /// @returns where it listens, with the port that the system chose.
  const Endpoint& Listening() const { return mListening; }

  /// @returns connections that are open now.
  std::int64_t OpenConnections() const { return static_cast<std::int64_t>(mSessions.size()); }

  /// @returns connections that were refused for want of room.
  std::int64_t RefusedConnections() const { return mRefused; }

  /// Takes over limits; they apply to open connections too.
  void SetLimits(const ConnectionLimits& aLimits);

  /// @returns bytes of calls that have not arrived completely.
  std::int64_t CallBytes() const { return static_cast<std::int64_t>(mShared->mCallBytes); }

  /// Closes each connection after its next answer, those that are still to come too.
  void CloseAfterAnswers();

  /// Stops listening, answers the calls that have begun to arrive, and closes all connections.
  /// @param aFinished told once, when the last connection is closed.
  void Finish(std::function<void()> aFinished);

  /// Stops listening and closes all connections, without answers to the calls that are open.
  void Close();

  /// Listens again on the same port.
  absl::Status Reopen();

private:
  WebServer(boost::asio::io_context& aContext, const WebCapacity& aCapacity);

  absl::Status Listen(const Endpoint& aListen);
  void Accept();
  void PauseAccepting();
  void AcceptQueued();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void MakeRoom();
  void RefuseLargestCall();
  void OnClosed(WebSession* aSession);
  void TellIfFinished();
  std::vector<std::shared_ptr<WebSession>> OpenSessions() const;

  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptPause;
  WebCapacity mCapacity;
  std::shared_ptr<detail::WebShared> mShared;
  Endpoint mListening;
  std::int64_t mRefused{ 0 };
  bool mClosesAfterAnswers{ false };
  bool mIsFinishing{ false };
  bool mListenerIsDone{ false };
  bool mIsClosed{ false };
  std::function<void()> mFinished;
  std::unordered_map<WebSession*, std::shared_ptr<WebSession>> mSessions;
};

} // namespace by
