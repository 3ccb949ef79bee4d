#include "by_http/detail/HttpSession.h"

#include <chrono>
#include <utility>
#include <variant>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/str_cat.h"

#include "by_http/Replies.h"
#include "by_http/RouteCall.h"
#include "by_http/detail/LaneOfName.h"

namespace by::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// How long an operator's call may wait for its reply.
constexpr auto kOperatorBound = std::chrono::seconds(10);
/// How long a connection that is given up may still send, so that it reads the reply first.
constexpr auto kLingerBound = std::chrono::seconds(1);
constexpr std::int64_t kMillisecondsInSecond = 1000;
/// Bytes that are read at once while a call waits, or thrown away after a refusal.
constexpr std::size_t kPiece = 4096;

std::chrono::milliseconds
Span(Time aTime)
{
  return std::chrono::milliseconds(aTime.Milliseconds());
}

/// @returns the reply to a call that could not be read, or nothing where the connection broke.
std::optional<HttpReply>
ReplyToFault(beast::error_code aError, const HttpSettings& aSettings)
{
  if (aError == http::error::body_limit) {
    return ErrorReply(
      413,
      "body_too_large",
      absl::StrCat("the body is over the limit of ", aSettings.BodyLimit(), " bytes"));
  }
  if (aError == http::error::header_limit) {
    return ErrorReply(
      431,
      "header_too_large",
      absl::StrCat("the header is over the limit of ", aSettings.HeaderLimit(), " bytes"));
  }
  const auto& category = beast::error_code(http::error::bad_method).category();
  const bool broken =
    aError == http::error::end_of_stream || aError == http::error::partial_message;
  if (aError.category() == category && !broken) {
    return ErrorReply(400, "malformed", absl::StrCat("the call is not HTTP: ", aError.message()));
  }
  return std::nullopt;
}

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket aSocket,
                         std::shared_ptr<HttpShared> aShared,
                         HttpLane& aLane)
  : mShared(std::move(aShared))
  , mLane(aLane)
  , mStream(std::move(aSocket))
  , mBound(mStream.get_executor())
{
}

HttpSession::~HttpSession()
{
  mLane.mSessions.erase(this);
  mShared->ReleaseConnection();
}

void
HttpSession::Start()
{
  mLane.mSessions.emplace(this, weak_from_this());
  ReadHeader();
}

void
HttpSession::Reject()
{
  Write(ErrorReply(503, "too_many_connections", "the node has too many connections"));
}

void
HttpSession::ReadHeader()
{
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mShared->mSettings.HeaderLimit()));
  mParser->body_limit(static_cast<std::uint64_t>(mShared->mSettings.BodyLimit()));
  mKeepAlive = false;
  ContinueHeader();
}

void
HttpSession::ContinueHeader()
{
  mReading = true;
  mStream.expires_after(Span(mShared->mSettings.IdleTimeout()));
  http::async_read_header(
    mStream, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->OnHeader(aError);
    });
}

void
HttpSession::OnHeader(ErrorCode aError)
{
  mReading = false;
  if (aError == asio::error::operation_aborted && HasBegunCall()) {
    // FinishCall() has interrupted the read.
    ContinueHeader();
  } else if (aError) {
    OnReadError(aError);
  } else if (beast::iequals(mParser->get()[http::field::expect], "100-continue")) {
    SendContinue();
  } else {
    ReadBody();
  }
}

bool
HttpSession::HasBegunCall()
{
  ErrorCode ec;
  return mStream.socket().is_open() &&
         (mBuffer.size() > 0 || mParser->got_some() || mStream.socket().available(ec) > 0);
}

void
HttpSession::SendContinue()
{
  mContinue = { http::status::continue_, mParser->get().version() };
  http::async_write(mStream, mContinue, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    if (!aError) {
      self->ReadBody();
    }
  });
}

void
HttpSession::ReadBody()
{
  http::async_read(
    mStream, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->OnBody(aError);
    });
}

void
HttpSession::OnBody(ErrorCode aError)
{
  if (aError) {
    OnReadError(aError);
    return;
  }
  Handle(TakeCall());
}

void
HttpSession::OnReadError(ErrorCode aError)
{
  const auto reply = ReplyToFault(aError, mShared->mSettings);
  if (reply.has_value()) {
    Write(*reply);
  } else {
    Close();
  }
}

IncomingCall
HttpSession::TakeCall()
{
  auto message = mParser->release();
  mParser.reset();
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
  if (mBuffer.size() >= static_cast<std::size_t>(mShared->mSettings.HeaderLimit())) {
    mSelf = shared_from_this();
    return;
  }
  mWatching = true;
  mStream.expires_never();
  mStream.async_read_some(mBuffer.prepare(kPiece),
                          [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
                            self->OnWatched(aError, aSize);
                          });
}

void
HttpSession::OnWatched(ErrorCode aError, std::size_t aSize)
{
  mWatching = false;
  mBuffer.commit(aSize);
  if (mReply.has_value()) {
    Write(*std::exchange(mReply, std::nullopt));
  } else if (aError == asio::error::eof) {
    OnSendingEnded();
  } else if (aError) {
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
    mStream.cancel();
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
  mStream.expires_after(Span(mShared->mSettings.IdleTimeout()));
  http::async_write(mStream, mResponse, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    self->OnWritten(aError);
  });
}

void
HttpSession::OnWritten(ErrorCode aError)
{
  if (aError) {
    Close();
  } else if (mKeepAlive) {
    ReadHeader();
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
  mStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  mStream.expires_after(kLingerBound);
  mBuffer.clear();
  Discard();
}

void
HttpSession::Discard()
{
  mStream.async_read_some(mBuffer.prepare(kPiece),
                          [self = shared_from_this()](ErrorCode aError, std::size_t) {
                            if (!aError) {
                              self->Discard();
                            }
                          });
}

void
HttpSession::FinishCall()
{
  mFinishing = true;
  if (mReading) {
    // Bytes that were read and not reported yet are seen only once the read has ended.
    mStream.cancel();
  }
}

void
HttpSession::Close()
{
  mSelf.reset();
  mBound.cancel();
  mStream.close();
}

} // namespace by::detail
