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
#include "by_web/WebSession.h"

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
  /// @param aMaxConnections calls on connections beyond these are answered 503.
  /// @returns the server, or Unavailable where the port can't be had.
  /// @param aUnanswered told of each call that ended without its answer.
  static absl::StatusOr<std::shared_ptr<WebServer>> Create(
    boost::asio::io_context& aContext,
    const Endpoint& aListen,
    std::int64_t aMaxConnections,
    WebSession::Handler aHandler,
    std::vector<std::string> aKeptHeaders = {},
    WebSession::Unanswered aUnanswered = nullptr);

  /// @returns where it listens, with the port that the system chose.
  const Endpoint& Listening() const { return mListening; }

  /// @returns connections that are open now.
  std::int64_t OpenConnections() const { return static_cast<std::int64_t>(mSessions.size()); }

  /// @returns connections that were refused for want of room.
  std::int64_t RefusedConnections() const { return mRefused; }

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
  WebServer(boost::asio::io_context& aContext,
            std::int64_t aMaxConnections,
            WebSession::Handler aHandler,
            std::vector<std::string> aKeptHeaders,
            WebSession::Unanswered aUnanswered);

  absl::Status Listen(const Endpoint& aListen);
  void Accept();
  void PauseAccepting();
  void AcceptQueued();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void OnClosed(WebSession* aSession);
  void TellIfFinished();
  std::vector<std::shared_ptr<WebSession>> OpenSessions() const;

  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptPause;
  std::int64_t mMaxConnections;
  WebSession::Handler mHandler;
  std::vector<std::string> mKeptHeaders;
  WebSession::Unanswered mUnanswered;
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
