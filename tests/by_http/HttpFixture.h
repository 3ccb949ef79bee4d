#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_http/HttpServer.h"
#include "by_schema/NodeEvent.h"

namespace by::test {

/// A running HttpServer on two traffic threads, with the control thread's place taken by the test.
class HttpFixture
{
public:
  /// @param aSettings the limits; the port comes from the system.
  explicit HttpFixture(HttpSettings::Fields aSettings = {});
  ~HttpFixture();

  HttpFixture(const HttpFixture&) = delete;
  HttpFixture& operator=(const HttpFixture&) = delete;

  /// @returns the server.
  HttpServer& Server() { return *mServer; }

  /// Waits for the next event that the server delivers.
  NodeEvent NextEvent();

  /// Waits for the next event and takes a request's id out of it.
  RequestId NextRequest();

  /// Lets the traffic threads do nothing until ReleaseTraffic(), so that the kernel keeps what
  /// arrives.
  void HoldTraffic();
  void ReleaseTraffic();

private:
  using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::deque<boost::asio::io_context> mContexts;
  std::vector<WorkGuard> mGuards;
  std::vector<std::thread> mThreads;
  std::mutex mMutex;
  std::condition_variable mArrived;
  std::deque<NodeEvent> mEvents;
  std::atomic<int> mDrawn{ 0 };
  std::unique_ptr<HttpServer> mServer;
  std::promise<void> mRelease;
};

/// A blocking connection of a caller.
class HttpPeer
{
public:
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  explicit HttpPeer(std::uint16_t aPort);

  /// Sends bytes as they are; an error is left to the next read.
  void SendRaw(const std::string& aBytes);

  /// Sends one call.
  void Send(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aToken = "",
            const std::string& aBody = "");

  /// Reads one reply.
  /// @returns the reply, or nothing where the connection was closed.
  std::optional<Response> Read();

  /// Sends one call and reads its reply.
  std::optional<Response> Call(const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aToken = "",
                               const std::string& aBody = "");

  /// Sends nothing more, and still reads.
  void ShutDownSending();

  /// Closes the connection.
  void Close();

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
};

/// The token of the team "arreo".
inline const std::string kArreoToken = "arreo-token";
/// The token of the team "lakfaelles".
inline const std::string kLakfaellesToken = "lakfaelles-token";
/// The token of operators.
inline const std::string kOperatorToken = "operator-token";
/// A request that is as it should be.
inline const std::string kSubmitBody =
  R"({"label":"quote-1","kind":"fare-quote","idempotent":true,"payload":"ES-17"})";

} // namespace by::test
