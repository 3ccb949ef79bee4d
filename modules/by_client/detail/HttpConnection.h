#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_schema/HttpCall.h"
#include "by_schema/HttpClientSettings.h"
#include "by_schema/HttpResult.h"

namespace by::detail {

/// One connection; carries one call at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  /// Told how a call ended and whether the connection can carry another.
  using Finished = std::function<void(const HttpResult& aResult, bool aReusable)>;
  /// Told that the connection ended while it was unused.
  using Ended = std::function<void()>;

  HttpConnection(boost::asio::io_context& aContext,
                 boost::asio::ip::tcp::endpoint aPeer,
                 const HttpClientSettings& aSettings);

  /// Sends a call, connecting first where needed.
  void Run(const HttpCall& aCall, Finished aFinished);

  /// Waits unused, until the server closes the connection or the idle timeout passes.
  void WatchIdle(Ended aEnded);

  /// Closes the connection while it is unused; Ended is not called.
  void CloseIdle();

  /// @returns when the last answer arrived.
  Time AnsweredAt() const { return mAnsweredAt; }

  /// The identity that the peer has shown on this connection; empty while it has not.
  const std::string& PeerIdentity() const { return mPeerIdentity; }
  void SetPeerIdentity(std::string aIdentity) { mPeerIdentity = std::move(aIdentity); }

  /// Closes the connection; a running call ends with the reason as its detail.
  void Close(std::string aReason);

private:
  enum class Stage
  {
    Closed,
    Connecting,
    Writing,
    Reading,
    Idle,
  };

  void Write();
  void Read();
  void Succeed();
  void Fail(CallOutcome aOutcome, const boost::system::error_code& aError);
  void Report(const HttpResult& aResult, bool aReusable);
  void EndIdle(std::uint64_t aPeriod);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mIdleTimer;
  boost::asio::ip::tcp::endpoint mPeer;
  HttpClientSettings mSettings;
  Stage mStage{ Stage::Closed };
  std::uint64_t mIdlePeriod{ 0 };
  Time mAnsweredAt{};
  std::string mPeerIdentity;
  std::string mCloseReason;
  boost::beast::flat_buffer mBuffer;
  boost::beast::http::request<boost::beast::http::string_body> mRequest;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> mParser;
  Finished mFinished;
  Ended mEnded;
};

} // namespace by::detail
