#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "by_http/detail/HttpLane.h"
#include "by_http/detail/HttpShared.h"
#include "by_json/Secrets.h"
#include "by_schema/HttpReply.h"
#include "by_schema/IncomingCall.h"
#include "by_schema/OperatorReply.h"
#include "by_schema/RoutedCall.h"
#include "by_web/CallReader.h"
#include "by_web/ConnectionPhase.h"

namespace by::detail {

/// One connection. All its methods run on the thread of its lane.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              std::shared_ptr<HttpShared> aShared,
              HttpLane& aLane);
  ~HttpSession();

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /// Begins to read the first call.
  void Start();

  /// Says that there are too many connections, and closes.
  void Reject();

  /// Sends the reply that the connection waits for.
  void Resolve(HttpReply aReply);

  /// Sends the reply to the operator's call that the connection waits with.
  void Resolve(const OperatorReply& aReply);

  /// Closes the connection unless a call on it is open or has begun to arrive.
  void FinishCall();

  /// Refuses the call that is arriving, since such calls hold too much memory.
  void RefuseForMemory();

  /// Closes the connection, which has no call, for a new one.
  /// @returns whether it did; a call may have arrived that is not read yet.
  bool GiveWay();

  /// @returns bytes of a call that is arriving.
  std::size_t HeldBytes() const { return mCharged; }

  /// Closes the connection.
  void Close();

private:
  using ErrorCode = boost::beast::error_code;

  void Enter(ConnectionPhase aPhase);
  void ArmTimer();
  void OnTimeout();
  void Charge();
  void ReadNext();
  void WaitForBytes();
  void OnBytes(ErrorCode aError);
  void TakeProgress();
  bool HasBegunCall();
  void SendContinue();
  IncomingCall TakeCall();
  void Handle(const IncomingCall& aCall);
  void HandlePage(const ReadPage& aPage);
  void HandleSubmitted(const CallerSubmitted& aSubmitted);
  void HandleOperatorCall(const OperatorCall& aCall);
  void Watch();
  void OnWatched(ErrorCode aError);
  void OnSendingEnded();
  void OnCallerGone();
  void DeliverCallerGone();
  void OnBound(std::uint64_t aCall);
  void Write(const HttpReply& aReply);
  void OnWritten(ErrorCode aError);
  void Linger();
  void Discard();

  std::shared_ptr<HttpShared> mShared;
  HttpLane& mLane;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mBound;
  ConnectionPhase mPhase{ ConnectionPhase::New };
  std::chrono::steady_clock::time_point mSince{};
  std::list<HttpSession*>::iterator mIdlePlace{};
  std::size_t mCharged{ 0 };
  CallReader mReader;
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
  boost::beast::http::response<boost::beast::http::empty_body> mContinue;
  /// The reply that came while the connection was watched.
  std::optional<HttpReply> mReply;
  RequestId mRequest;
  std::uint64_t mCall{ 0 };
  unsigned mVersion{ 11 };
  Secrets mSecrets{ Secrets::Hidden };
  bool mKeepAlive{ false };
  bool mHasSentContinue{ false };
  bool mFinishing{ false };
  bool mWaiting{ false };
  bool mWatching{ false };
  /// Keeps the connection while it waits with nothing to watch for.
  std::shared_ptr<HttpSession> mSelf;
};

/// Refuses the call that holds the most bytes of those that are arriving on a traffic thread.
void
RefuseLargestCall(HttpLane& aLane);

} // namespace by::detail
