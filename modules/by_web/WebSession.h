#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_web/CallReader.h"
#include "by_web/ConnectionPhase.h"
#include "by_web/UnansweredCall.h"
#include "by_web/WebRequest.h"
#include "by_web/detail/WebShared.h"

namespace by {

/// One connection of a server; carries one call at a time.
class WebSession : public std::enable_shared_from_this<WebSession>
{
public:
  /// Told of each whole call; answers it by Answer() or Drop(), at once or later.
  using Handler = std::function<void(const WebRequest&, const std::shared_ptr<WebSession>&)>;
  /// Told of each whole call whose connection ended before the answer was handed to the kernel.
  using Unanswered = std::function<void(const UnansweredCall&)>;

  WebSession(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<detail::WebShared> aShared);

  /// Reads the first call.
  void Start();
  /// Answers that there is no room, and closes the connection, without reading a call.
  void StartRefusal(Refusal aReason);
  /// Answers that no call is taken, and closes the connection.
  void Refuse(unsigned aStatusCode, Refusal aReason);
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
  /// Closes the connection, which has no call, for a new one.
  /// @returns whether it did; a call may have arrived that is not read yet.
  bool GiveWay();
  /// Applies limits that have changed to the wait that the connection is in.
  void ApplyLimits();
  /// @returns bytes of a call that is arriving.
  std::size_t HeldBytes() const { return mCharged; }

private:
  using ErrorCode = boost::system::error_code;
  using Clock = std::chrono::steady_clock;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  void Enter(ConnectionPhase aPhase);
  void ArmTimer();
  void OnTimeout();
  void Charge();
  void ReadNext();
  void WaitForBytes();
  void OnBytes(ErrorCode aError);
  void TakeProgress();
  bool HasBegunCall();
  void OnCall();
  void Write(Response aResponse);
  void WatchPeer();
  void OnPeerReadable(ErrorCode aError);
  void Linger();
  void Discard();

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<detail::WebShared> mShared;
  ConnectionPhase mPhase{ ConnectionPhase::New };
  Clock::time_point mSince{};
  std::list<WebSession*>::iterator mIdlePlace{};
  std::size_t mCharged{ 0 };
  bool mCallOpen{ false };
  bool mKeepAlive{ true };
  bool mFinishing{ false };
  /// The call that is open or being answered.
  UnansweredCall mCall;
  CallReader mReader;
  Response mResponse;
};

} // namespace by
