#include "by_http/detail/HttpSession.h"

#include <chrono>
#include <utility>
#include <variant>

#include <boost/beast/http/write.hpp>

#include "absl/strings/str_cat.h"

#include "by_http/Replies.h"
#include "by_http/RouteCall.h"
#include "by_http/detail/LaneOfName.h"
#include "by_web/CallLimits.h"

namespace by::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// How long an operator's call may wait for its reply.
constexpr auto kOperatorBound = std::chrono::seconds(10);
constexpr std::int64_t kMillisecondsInSecond = 1000;

/// @returns the reply to a call that could not be read.
HttpReply
ReplyToFault(const CallFault& aFault, const ConnectionLimits& aLimits)
{
  switch (aFault.mReason) {
    case Refusal::BodyTooLarge:
      return ErrorReply(
        aFault.mStatus,
        "body_too_large",
        absl::StrCat("the body is over the limit of ", aLimits.BodyBytes(), " bytes"));
    case Refusal::HeaderTooLarge:
      return ErrorReply(
        aFault.mStatus,
        "header_too_large",
        absl::StrCat("the header is over the limit of ", aLimits.HeaderBytes(), " bytes"));
    case Refusal::FramingTooLarge:
      return ErrorReply(
        aFault.mStatus, "framing_too_large", "extensions of chunks or trailers are over the limit");
    default:
      return ErrorReply(aFault.mStatus, "malformed", "the call is not HTTP");
  }
}

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket aSocket,
                         std::shared_ptr<HttpShared> aShared,
                         HttpLane& aLane)
  : mShared(std::move(aShared))
  , mLane(aLane)
  , mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mBound(mSocket.get_executor())
{
}

HttpSession::~HttpSession()
{
  if (mPhase == ConnectionPhase::Idle) {
    mLane.mIdle.erase(mIdlePlace);
  }
  mLane.mCallBytes -= mCharged;
  mLane.mSessions.erase(this);
  mShared->ReleaseConnection();
}

void
HttpSession::Start()
{
  mLane.mSessions.emplace(this, weak_from_this());
  ErrorCode ignored;
  mSocket.non_blocking(true, ignored);
  Enter(ConnectionPhase::Idle);
  WaitForBytes();
}

void
HttpSession::Reject()
{
  ErrorCode ignored;
  mSocket.non_blocking(true, ignored);
  Write(ErrorReply(503, "too_many_connections", "the node has too many connections"));
}

void
HttpSession::Enter(ConnectionPhase aPhase)
{
  if (mPhase == aPhase) {
    return;
  }
  if (mPhase == ConnectionPhase::Idle) {
    mLane.mIdle.erase(mIdlePlace);
  }
  mPhase = aPhase;
  if (mPhase == ConnectionPhase::Idle) {
    mIdlePlace = mLane.mIdle.insert(mLane.mIdle.end(), this);
  }
  mSince = std::chrono::steady_clock::now();
  ArmTimer();
}

void
HttpSession::ArmTimer()
{
  const auto time = TimeLimit(mPhase, mShared->mLimits);
  if (!time) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_at(mSince + std::chrono::milliseconds(time->Milliseconds()));
  mTimer.async_wait([self = weak_from_this()](ErrorCode aError) {
    const auto session = self.lock();
    // The wait may have ended just before another one began.
    if (session && !aError && session->mTimer.expiry() <= std::chrono::steady_clock::now()) {
      session->OnTimeout();
    }
  });
}

void
HttpSession::OnTimeout()
{
  if (mPhase == ConnectionPhase::Idle && HasBegunCall()) {
    // A busy thread has not read the call yet.
    return;
  }
  if (const auto refusal = RefusalOfTimeout(mPhase)) {
    mShared->Report(*refusal);
  }
  Close();
}

void
HttpSession::Charge()
{
  const auto held = IsReading(mPhase) ? mReader.Held() : 0;
  mLane.mCallBytes += held;
  mLane.mCallBytes -= std::exchange(mCharged, held);
}

void
HttpSession::ReadNext()
{
  // Bytes of the next call may have arrived with those of the previous one.
  mKeepAlive = false;
  mHasSentContinue = false;
  Enter(ConnectionPhase::Idle);
  mReader.Read({}, mShared->mLimits);
  TakeProgress();
}

void
HttpSession::WaitForBytes()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) { self->OnBytes(aError); });
}

void
HttpSession::OnBytes(ErrorCode aError)
{
  if (!mSocket.is_open() || !IsReading(mPhase)) {
    return;
  }
  if (aError == asio::error::operation_aborted && HasBegunCall()) {
    // FinishCall() has interrupted the wait.
    WaitForBytes();
    return;
  }
  auto& arrived = mLane.mArrived;
  const auto size = aError ? 0 : mSocket.read_some(asio::buffer(arrived), aError);
  if (aError == asio::error::would_block) {
    WaitForBytes();
  } else if (aError) {
    Close();
  } else {
    mReader.Read({ arrived.data(), size }, mShared->mLimits);
    TakeProgress();
  }
}

void
HttpSession::TakeProgress()
{
  if (mReader.Progress() == CallProgress::Complete) {
    const auto call = TakeCall();
    Enter(ConnectionPhase::Open);
    Charge();
    Handle(call);
    return;
  }
  if (mReader.Progress() == CallProgress::Refused) {
    mShared->Report(mReader.Fault().mReason);
    Write(ReplyToFault(mReader.Fault(), mShared->mLimits));
    return;
  }
  Enter(PhaseOf(mReader.Progress()));
  Charge();
  if (mReader.ExpectsContinue() && !std::exchange(mHasSentContinue, true)) {
    SendContinue();
  } else {
    WaitForBytes();
  }
  if (mLane.mCallBytes > mShared->CallBytesLimit()) {
    RefuseLargestCall(mLane);
  }
}

void
HttpSession::RefuseForMemory()
{
  mShared->Report(Refusal::OutOfMemory);
  mReader.Clear();
  Write(ErrorReply(503, "out_of_memory", "calls that are arriving hold too much memory"));
}

bool
HttpSession::GiveWay()
{
  if (mPhase != ConnectionPhase::Idle || HasBegunCall()) {
    return false;
  }
  mShared->Report(Refusal::GaveWay);
  Close();
  return true;
}

bool
HttpSession::HasBegunCall()
{
  ErrorCode ec;
  return mSocket.is_open() &&
         (mReader.Progress() != CallProgress::None || mSocket.available(ec) > 0);
}

void
HttpSession::SendContinue()
{
  mContinue = { http::status::continue_, mVersion };
  http::async_write(mSocket, mContinue, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    // FinishCall() may have interrupted the write.
    if ((!aError || aError == asio::error::operation_aborted) && IsReading(self->mPhase)) {
      self->WaitForBytes();
    }
  });
}

IncomingCall
HttpSession::TakeCall()
{
  auto message = mReader.Take();
  mVersion = message.version();
  mKeepAlive = message.keep_alive() && message.method() != http::verb::head;
  return IncomingCall::Create({ .mMethod = std::string(message.method_string()),
                                .mTarget = std::string(message.target()),
                                .mAuthorization = std::string(message[http::field::authorization]),
                                .mBody = std::move(message.body()) })
    .value();
}

void
HttpSession::Handle(const IncomingCall& aCall)
{
  const auto count = mShared->mCallCount.fetch_add(1, std::memory_order_relaxed);
  const CallNames names{ NameForLane(mShared->mHooks.mDrawId(), mLane.mIndex),
                         CallForLane(count, mLane.mIndex, mShared->mLanes.size()) };
  const HttpAccess access{ mShared->mSettings.OperatorToken(), mLane.mTokens };
  const auto routed = RouteCall(aCall, access, names);
  mSecrets = AsksForSecrets(aCall) ? Secrets::Shown : Secrets::Hidden;
  if (const auto* reply = std::get_if<HttpReply>(&routed.Body())) {
    Write(*reply);
  } else if (const auto* page = std::get_if<ReadPage>(&routed.Body())) {
    HandlePage(*page);
  } else if (const auto* submitted = std::get_if<CallerSubmitted>(&routed.Body())) {
    HandleSubmitted(*submitted);
  } else {
    HandleOperatorCall(std::get<OperatorCall>(routed.Body()));
  }
}

void
HttpSession::HandlePage(const ReadPage& aPage)
{
  const std::string plain = "text/plain; charset=utf-8";
  switch (aPage.Page()) {
    case Page::Metrics:
      Write(HttpReply::Create({ .mContentType = "text/plain; version=0.0.4; charset=utf-8",
                                .mBody = mShared->mHooks.mMetricsText() })
              .value());
      return;
    case Page::Health:
      Write(HttpReply::Create({ .mContentType = plain, .mBody = "ok\n" }).value());
      return;
    case Page::Readiness:
      break;
  }
  if (mShared->mReady.load(std::memory_order_relaxed)) {
    Write(HttpReply::Create({ .mContentType = plain, .mBody = "ready\n" }).value());
  } else {
    Write(ErrorReply(503, "not_ready", "the node takes no new work"));
  }
}

void
HttpSession::HandleSubmitted(const CallerSubmitted& aSubmitted)
{
  mRequest = aSubmitted.Request().Id();
  mWaiting = true;
  mLane.mRequests.emplace(mRequest, weak_from_this());
  Watch();
  mShared->mHooks.mDeliver(NodeEvent::Create({ .mBody = aSubmitted }).value());
}

void
HttpSession::HandleOperatorCall(const OperatorCall& aCall)
{
  mCall = aCall.Call();
  mWaiting = true;
  mLane.mCalls.emplace(mCall, weak_from_this());
  mBound.expires_after(kOperatorBound);
  mBound.async_wait([self = shared_from_this(), call = mCall](ErrorCode aError) {
    if (!aError) {
      self->OnBound(call);
    }
  });
  Watch();
  mShared->mHooks.mDeliver(NodeEvent::Create({ .mBody = aCall }).value());
}

void
HttpSession::OnBound(std::uint64_t aCall)
{
  if (mWaiting && mLane.mCalls.erase(aCall) > 0) {
    Resolve(ErrorReply(504, "timeout", "the node did not reply in time"));
  }
}

void
HttpSession::Watch()
{
  if (mReader.Held() >= static_cast<std::size_t>(mShared->mLimits.HeaderBytes())) {
    mSelf = shared_from_this();
    return;
  }
  mWatching = true;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) { self->OnWatched(aError); });
}

void
HttpSession::OnWatched(ErrorCode aError)
{
  mWatching = false;
  if (mReply.has_value()) {
    Write(*std::exchange(mReply, std::nullopt));
    return;
  }
  auto& arrived = mLane.mArrived;
  const auto size = aError ? 0 : mSocket.read_some(asio::buffer(arrived), aError);
  if (!aError) {
    mReader.Keep({ arrived.data(), size });
  }
  if (aError == asio::error::eof) {
    OnSendingEnded();
  } else if (aError && aError != asio::error::would_block) {
    OnCallerGone();
  } else {
    Watch();
  }
}

void
HttpSession::OnSendingEnded()
{
  // The caller may still read, so what becomes of its request is answered.
  mKeepAlive = false;
  mSelf = shared_from_this();
  if (mWaiting && mLane.mRequests.contains(mRequest)) {
    DeliverCallerGone();
  }
}

void
HttpSession::DeliverCallerGone()
{
  mShared->mHooks.mDeliver(
    NodeEvent::Create({ .mBody = CallerGone::Create({ .mRequest = mRequest }).value() }).value());
}

void
HttpSession::OnCallerGone()
{
  const bool waited = std::exchange(mWaiting, false);
  if (waited && mLane.mRequests.erase(mRequest) > 0) {
    DeliverCallerGone();
  }
  mLane.mCalls.erase(mCall);
  mBound.cancel();
  Close();
}

void
HttpSession::Resolve(HttpReply aReply)
{
  if (!std::exchange(mWaiting, false)) {
    return;
  }
  mBound.cancel();
  const auto self = std::exchange(mSelf, nullptr);
  if (mWatching) {
    mReply = std::move(aReply);
    ErrorCode ignored;
    mSocket.cancel(ignored);
  } else {
    Write(aReply);
  }
}

void
HttpSession::Resolve(const OperatorReply& aReply)
{
  Resolve(ReplyToOperator(aReply, mSecrets));
}

void
HttpSession::Write(const HttpReply& aReply)
{
  mResponse = { static_cast<http::status>(aReply.Status()), mVersion };
  mResponse.set(http::field::content_type, aReply.ContentType());
  if (!aReply.Request().IsEmpty()) {
    mResponse.set("X-Request-Id", aReply.Request().Text());
  }
  if (aReply.RetryAfter() > Time()) {
    mResponse.set(http::field::retry_after,
                  absl::StrCat(aReply.RetryAfter().Milliseconds() / kMillisecondsInSecond));
  }
  mKeepAlive = mKeepAlive && !mShared->mStopping.load(std::memory_order_relaxed);
  mResponse.keep_alive(mKeepAlive);
  mResponse.body() = aReply.Body();
  mResponse.prepare_payload();
  Enter(ConnectionPhase::Answering);
  Charge();
  http::async_write(mSocket, mResponse, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    self->OnWritten(aError);
  });
}

void
HttpSession::OnWritten(ErrorCode aError)
{
  if (aError) {
    Close();
  } else if (mKeepAlive) {
    mResponse = {};
    ReadNext();
    if (mFinishing) {
      FinishCall();
    }
  } else {
    Linger();
  }
}

void
HttpSession::Linger()
{
  ErrorCode ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  Enter(ConnectionPhase::Lingering);
  mReader.Clear();
  Discard();
}

void
HttpSession::Discard()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) {
                       if (!aError) {
                         self->mSocket.read_some(asio::buffer(self->mLane.mArrived), aError);
                       }
                       if (!aError || aError == asio::error::would_block) {
                         self->Discard();
                       }
                     });
}

void
HttpSession::FinishCall()
{
  mFinishing = true;
  if (IsReading(mPhase)) {
    // Bytes that have arrived and were not reported yet are seen only once the wait has ended.
    ErrorCode ignored;
    mSocket.cancel(ignored);
  }
}

void
HttpSession::Close()
{
  mSelf.reset();
  mBound.cancel();
  Enter(ConnectionPhase::Closed);
  Charge();
  ErrorCode ignored;
  mSocket.close(ignored);
}

void
RefuseLargestCall(HttpLane& aLane)
{
  std::shared_ptr<HttpSession> largest;
  for (const auto& it : aLane.mSessions) {
    const auto session = it.second.lock();
    if (session && (!largest || session->HeldBytes() > largest->HeldBytes())) {
      largest = session;
    }
  }
  if (largest && largest->HeldBytes() > 0) {
    largest->RefuseForMemory();
  }
}

} // namespace by::detail
