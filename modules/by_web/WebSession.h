#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_web/UnansweredCall.h"
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
  /// Told of each whole call whose connection ended before the answer was handed to the kernel.
  using Unanswered = std::function<void(const UnansweredCall&)>;

  /// @param aKeptHeaders names of the headers that calls are given with.
  WebSession(boost::asio::ip::tcp::socket aSocket,
             std::vector<std::string> aKeptHeaders,
             Handler aHandler,
             Closed aClosed,
             Unanswered aUnanswered);

  /// Reads the first call.
  void Start();
  /// Answers the call that is open; does nothing where none is.
  void Answer(unsigned aStatusCode, std::string aBody);
  /// Answers that the caller should come back later.
  /// @param aRetryAfter whole seconds.
  void AnswerRetry(unsigned aStatusCode, std::string aBody, std::int64_t aRetryAfter);
  /// Closes the connection after the next answer.
  void CloseAfterAnswer();
  /// Closes the connection after the answer to the call that is open or has begun to arrive, or at
  /// once where there is none.
  void Finish();
  /// Closes the connection without an answer.
  void Drop(const char* aReason = "dropped");

private:
  using ErrorCode = boost::system::error_code;

  void Read();
  void ContinueRead();
  void OnRead(ErrorCode aError);
  bool HasBegunCall();
  void OnCall();
  void Write();
  void WatchPeer();
  void OnReadable(ErrorCode aError);
  void Linger();
  void DropAfter(std::chrono::seconds aTime, const char* aReason);
  void Discard();

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mDropTimer;
  std::vector<std::string> mKeptHeaders;
  Handler mHandler;
  Closed mClosed;
  Unanswered mUnanswered;
  bool mCallOpen{ false };
  bool mKeepAlive{ true };
  bool mReading{ false };
  bool mWriting{ false };
  bool mFinishing{ false };
  /// The call that is open or being answered.
  UnansweredCall mCall;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> mParser;
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
};

} // namespace by
