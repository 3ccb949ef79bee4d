#include "by_web/WebSession.h"

#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/write.hpp>

#include "by_web/CallLimits.h"
#include "by_web/QueryText.h"

namespace by {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kServiceUnavailable = 503;
/// Seconds after which a caller may try again that met a full process.
constexpr std::int64_t kRetryAfter = 1;

} // namespace

WebSession::WebSession(asio::ip::tcp::socket aSocket, std::shared_ptr<detail::WebShared> aShared)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mShared(std::move(aShared))
{
}

void
WebSession::Start()
{
  ErrorCode ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  Enter(ConnectionPhase::Idle);
  WaitForBytes();
}

void
WebSession::StartRefusal(Refusal aReason)
{
  ErrorCode ignored;
  mSocket.non_blocking(true, ignored);
  Refuse(kServiceUnavailable, aReason);
}

void
WebSession::Enter(ConnectionPhase aPhase)
{
  if (mPhase == aPhase) {
    return;
  }
  if (mPhase == ConnectionPhase::Idle) {
    mShared->mIdle.erase(mIdlePlace);
  }
  mPhase = aPhase;
  if (mPhase == ConnectionPhase::Idle) {
    mIdlePlace = mShared->mIdle.insert(mShared->mIdle.end(), this);
  }
  mSince = Clock::now();
  ArmTimer();
}

void
WebSession::ArmTimer()
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
    if (session && !aError && session->mTimer.expiry() <= Clock::now()) {
      session->OnTimeout();
    }
  });
}

void
WebSession::ApplyLimits()
{
  ArmTimer();
}

void
WebSession::OnTimeout()
{
  if (mPhase == ConnectionPhase::Idle && HasBegunCall()) {
    // A busy thread has not read the call yet.
    return;
  }
  if (const auto refusal = RefusalOfTimeout(mPhase)) {
    mShared->mRefused(*refusal);
    Drop(ToString(*refusal));
    return;
  }
  Drop(mPhase == ConnectionPhase::HalfClosed ? "half-closed for too long"
                                             : "lingered for too long");
}

void
WebSession::Charge()
{
  const auto held = IsReading(mPhase) ? mReader.Held() : 0;
  mShared->mCallBytes += held;
  mShared->mCallBytes -= std::exchange(mCharged, held);
}

void
WebSession::ReadNext()
{
  // Bytes of the next call may have arrived with those of the previous one.
  Enter(ConnectionPhase::Idle);
  mReader.Read({}, mShared->mLimits);
  TakeProgress();
}

void
WebSession::WaitForBytes()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) { self->OnBytes(aError); });
}

void
WebSession::OnBytes(ErrorCode aError)
{
  if (!mSocket.is_open() || !IsReading(mPhase)) {
    return;
  }
  if (aError == asio::error::operation_aborted) {
    // Finish() has interrupted the wait.
    if (HasBegunCall()) {
      WaitForBytes();
    } else {
      Drop();
    }
    return;
  }
  auto& arrived = mShared->mArrived;
  const auto size = aError ? 0 : mSocket.read_some(asio::buffer(arrived), aError);
  if (aError == asio::error::would_block) {
    WaitForBytes();
    return;
  }
  if (aError) {
    Drop();
    return;
  }
  mReader.Read({ arrived.data(), size }, mShared->mLimits);
  TakeProgress();
}

void
WebSession::TakeProgress()
{
  switch (mReader.Progress()) {
    case CallProgress::Complete:
      OnCall();
      return;
    case CallProgress::Refused:
      Refuse(mReader.Fault().mStatus, mReader.Fault().mReason);
      return;
    case CallProgress::None:
    case CallProgress::Header:
    case CallProgress::Body:
      break;
  }
  Enter(PhaseOf(mReader.Progress()));
  Charge();
  WaitForBytes();
  if (mShared->mCallBytes > mShared->mCallBytesLimit) {
    mShared->mOutOfMemory();
  }
}

bool
WebSession::HasBegunCall()
{
  ErrorCode ec;
  return mReader.Progress() != CallProgress::None || mSocket.available(ec) > 0;
}

void
WebSession::OnCall()
{
  auto request = mReader.Take();
  WebRequest incoming;
  incoming.mMethod = std::string(request.method_string());
  ReadTarget(std::string_view(request.target().data(), request.target().size()), incoming);
  incoming.mHost = std::string(request[http::field::host]);
  for (const auto& name : mShared->mKeptHeaders) {
    // Repeated fields are one list of values.
    const auto fields = request.equal_range(name);
    for (auto it = fields.first; it != fields.second; ++it) {
      auto& value = incoming.mHeaders[name];
      value += it == fields.first ? "" : ", ";
      value += std::string_view(it->value().data(), it->value().size());
    }
  }
  mKeepAlive = mKeepAlive && request.keep_alive();
  incoming.mBody = std::move(request.body());
  mCallOpen = true;
  mCall = { .mMethod = incoming.mMethod, .mPath = incoming.mPath, .mReason = {} };
  Enter(ConnectionPhase::Open);
  Charge();
  mShared->mHandler(incoming, shared_from_this());
  if (mCallOpen) {
    WatchPeer();
  }
}

void
WebSession::WatchPeer()
{
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](ErrorCode aError) { self->OnPeerReadable(aError); });
}

void
WebSession::OnPeerReadable(ErrorCode aError)
{
  if (aError || !mCallOpen) {
    return;
  }
  std::array<char, 1> next{};
  ErrorCode ec;
  mSocket.receive(asio::buffer(next), asio::socket_base::message_peek, ec);
  if (ec == asio::error::eof) {
    // A caller may shut down its sending side after its request and still wait for the answer.
    mKeepAlive = false;
    Enter(ConnectionPhase::HalfClosed);
  } else if (ec && ec != asio::error::would_block) {
    Drop("reset by the caller");
  }
}

void
WebSession::Refuse(unsigned aStatusCode, Refusal aReason)
{
  mShared->mRefused(aReason);
  mReader.Clear();
  mCall = {};
  mCallOpen = true;
  mKeepAlive = false;
  if (aStatusCode == kServiceUnavailable) {
    AnswerRetry(aStatusCode, "{}", kRetryAfter);
  } else {
    Answer(aStatusCode, "{}");
  }
}

void
WebSession::Answer(unsigned aStatusCode, std::string aBody)
{
  if (!mCallOpen) {
    return;
  }
  Response response(http::status(aStatusCode), kHttpVersion);
  response.body() = std::move(aBody);
  Write(std::move(response));
}

void
WebSession::AnswerRetry(unsigned aStatusCode, std::string aBody, std::int64_t aRetryAfter)
{
  if (!mCallOpen) {
    return;
  }
  Response response(http::status(aStatusCode), kHttpVersion);
  response.set(http::field::retry_after, std::to_string(aRetryAfter));
  response.body() = std::move(aBody);
  Write(std::move(response));
}

void
WebSession::Write(Response aResponse)
{
  mCallOpen = false;
  Enter(ConnectionPhase::Answering);
  Charge();
  mResponse = std::move(aResponse);
  mResponse.set(http::field::content_type, "application/json");
  mResponse.keep_alive(mKeepAlive);
  mResponse.prepare_payload();
  auto written = [self = shared_from_this()](ErrorCode aError, std::size_t) {
    if (aError) {
      self->Drop("write failed");
      return;
    }
    // The answer says whether the connection stays, so a stop that came meanwhile takes effect
    // here.
    const bool stays = self->mResponse.keep_alive();
    self->mResponse = {};
    if (!stays) {
      self->Linger();
      return;
    }
    self->ReadNext();
    if (self->mFinishing) {
      self->Finish();
    }
  };
  http::async_write(mSocket, mResponse, std::move(written));
}

void
WebSession::CloseAfterAnswer()
{
  mKeepAlive = false;
}

void
WebSession::Finish()
{
  mKeepAlive = false;
  mFinishing = true;
  if (IsReading(mPhase)) {
    // Bytes that have arrived and were not reported yet are seen only once the wait has ended.
    ErrorCode ignored;
    mSocket.cancel(ignored);
  }
}

void
WebSession::Linger()
{
  // Closing a socket with unread bytes resets the connection, and the caller loses the answer.
  ErrorCode ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  Enter(ConnectionPhase::Lingering);
  mReader.Clear();
  Discard();
}

void
WebSession::Discard()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) {
                       if (!aError) {
                         self->mSocket.read_some(asio::buffer(self->mShared->mArrived), aError);
                       }
                       if (aError && aError != asio::error::would_block) {
                         self->Drop();
                       } else {
                         self->Discard();
                       }
                     });
}

bool
WebSession::GiveWay()
{
  if (mPhase != ConnectionPhase::Idle || HasBegunCall()) {
    return false;
  }
  mShared->mRefused(Refusal::GaveWay);
  Drop("gave way");
  return true;
}

void
WebSession::Drop(const char* aReason)
{
  const bool isUnanswered =
    (mCallOpen || mPhase == ConnectionPhase::Answering) && mSocket.is_open();
  if (mPhase == ConnectionPhase::Closed) {
    return;
  }
  mCallOpen = false;
  Enter(ConnectionPhase::Closed);
  Charge();
  ErrorCode ignored;
  mSocket.close(ignored);
  if (isUnanswered && mShared->mUnanswered) {
    mCall.mReason = aReason;
    mShared->mUnanswered(mCall);
  }
  mShared->mClosed(this);
}

} // namespace by
