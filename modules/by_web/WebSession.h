#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_web/WebRequest.h"

namespace by {

/// One connection of a server; carries one call at a time.
class WebSession : public std::enable_shared_from_this<WebSession>
{
public:
  /// Told of each whole call; answers it by Answer() or Drop(), at once or later.
  using Handler = std::function<void(const WebRequest&, const std::shared_ptr<WebSession>&)>;
  /// Told once that the connection is closed.
  using Closed = std::function<void(WebSession*)>;

  /// @param aKeptHeaders names of the headers that calls are given with.
  WebSession(boost::asio::ip::tcp::socket aSocket,
             std::vector<std::string> aKeptHeaders,
             Handler aHandler,
             Closed aClosed);

  /// Reads the first call.
  void Start();
  /// Answers the call that is open; does nothing where none is.
  void Answer(unsigned aStatusCode, std::string aBody);
  /// Answers that the caller should come back later.
  /// @param aRetryAfter whole seconds.
  void AnswerRetry(unsigned aStatusCode, std::string aBody, std::int64_t aRetryAfter);
  /// Closes the connection after the next answer, or at once where no call is open.
  void CloseSoon();
  /// Closes the connection without an answer.
  void Drop();

private:
  void Read();
  void OnCall();
  void Write();
  void WatchPeer();

  boost::asio::ip::tcp::socket mSocket;
  std::vector<std::string> mKeptHeaders;
  Handler mHandler;
  Closed mClosed;
  bool mCallOpen{ false };
  bool mKeepAlive{ true };
  bool mWriting{ false };
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> mParser;
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
};

} // namespace by
