#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
  static absl::StatusOr<std::shared_ptr<WebServer>> Create(
    boost::asio::io_context& aContext,
    const Endpoint& aListen,
    std::int64_t aMaxConnections,
    WebSession::Handler aHandler,
    std::vector<std::string> aKeptHeaders = {});

  /// @returns where it listens, with the port that the system chose.
  const Endpoint& Listening() const { return mListening; }

  /// @returns connections that are open now.
  std::int64_t OpenConnections() const { return static_cast<std::int64_t>(mSessions.size()); }

  /// @returns connections that were refused for want of room.
  std::int64_t RefusedConnections() const { return mRefused; }

  /// Closes connections that wait for a call now, and all others after their next answer.
  void CloseIdle();

  /// Stops listening and closes all connections.
  void Close();

  /// Listens again on the same port.
  absl::Status Reopen();

private:
  WebServer(boost::asio::io_context& aContext,
            std::int64_t aMaxConnections,
            WebSession::Handler aHandler,
            std::vector<std::string> aKeptHeaders);

  absl::Status Listen(const Endpoint& aListen);
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::int64_t mMaxConnections;
  WebSession::Handler mHandler;
  std::vector<std::string> mKeptHeaders;
  Endpoint mListening;
  std::int64_t mRefused{ 0 };
  std::unordered_map<WebSession*, std::weak_ptr<WebSession>> mSessions;
};

} // namespace by
