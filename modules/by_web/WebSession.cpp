#include "by_web/WebSession.h"

#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "by_web/QueryText.h"

namespace by {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint64_t kBodyLimit = std::uint64_t{ 64 } * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kPayloadTooLarge = 413;
/// How long the caller may take to read the last answer and close its side.
constexpr std::chrono::seconds kLingerBound{ 1 };
/// A caller that has ended its sending half may have left, so its call is not kept for longer.
constexpr std::chrono::seconds kHalfClosedBound{ 30 };
/// Bytes that are thrown away at once while a connection lingers.
constexpr std::size_t kPiece = 4096;

/// @returns the status that answers bytes that are no call, or 0 where the connection broke.
unsigned
StatusOfFault(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return kPayloadTooLarge;
  }
  const bool isBroken =
    aError == http::error::end_of_stream || aError == http::error::partial_message;
  const auto& category = make_error_code(http::error::bad_method).category();
  return aError.category() == category && !isBroken ? kBadRequest : 0;
}

} // namespace

WebSession::WebSession(asio::ip::tcp::socket aSocket,
                       std::vector<std::string> aKeptHeaders,
                       Handler aHandler,
                       Closed aClosed,
                       Unanswered aUnanswered)
  : mSocket(std::move(aSocket))
  , mDropTimer(mSocket.get_executor())
  , mKeptHeaders(std::move(aKeptHeaders))
  , mHandler(std::move(aHandler))
  , mClosed(std::move(aClosed))
  , mUnanswered(std::move(aUnanswered))
{
}

void
WebSession::Start()
{
  ErrorCode ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  Read();
}

void
WebSession::Read()
{
  mParser.emplace();
  mParser->body_limit(kBodyLimit);
  ContinueRead();
}

void
WebSession::ContinueRead()
{
  mReading = true;
  http::async_read(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->mReading = false;
      self->OnRead(aError);
    });
}

void
WebSession::OnRead(ErrorCode aError)
{
  if (!mSocket.is_open()) {
    return;
  }
  if (aError == asio::error::operation_aborted) {
    // Finish() has interrupted the read.
    if (HasBegunCall()) {
      ContinueRead();
    } else {
      Drop();
    }
    return;
  }
  if (const auto status = StatusOfFault(aError)) {
    mCall = {};
    mCallOpen = true;
    mKeepAlive = false;
    Answer(status, "{}");
  } else if (aError) {
    Drop();
  } else {
    OnCall();
  }
}

bool
WebSession::HasBegunCall()
{
  ErrorCode ec;
  return mBuffer.size() > 0 || mParser->got_some() || mSocket.available(ec) > 0;
}

void
WebSession::OnCall()
{
  auto request = mParser->release();
  mParser.reset();
  WebRequest incoming;
  incoming.mMethod = std::string(request.method_string());
  ReadTarget(std::string_view(request.target().data(), request.target().size()), incoming);
  incoming.mHost = std::string(request[http::field::host]);
  for (const auto& name : mKeptHeaders) {
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
  mHandler(incoming, shared_from_this());
  if (mCallOpen) {
    WatchPeer();
  }
}

void
WebSession::WatchPeer()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) { self->OnReadable(aError); });
}

void
WebSession::OnReadable(ErrorCode aError)
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
    DropAfter(kHalfClosedBound, "half-closed for too long");
  } else if (ec && ec != asio::error::would_block) {
    Drop("reset by the caller");
  }
}

void
WebSession::Answer(unsigned aStatusCode, std::string aBody)
{
  if (!mCallOpen) {
    return;
  }
  mResponse = http::response<http::string_body>(http::status(aStatusCode), kHttpVersion);
  mResponse.body() = std::move(aBody);
  Write();
}

void
WebSession::AnswerRetry(unsigned aStatusCode, std::string aBody, std::int64_t aRetryAfter)
{
  if (!mCallOpen) {
    return;
  }
  mResponse = http::response<http::string_body>(http::status(aStatusCode), kHttpVersion);
  mResponse.set(http::field::retry_after, std::to_string(aRetryAfter));
  mResponse.body() = std::move(aBody);
  Write();
}

void
WebSession::Write()
{
  mCallOpen = false;
  mWriting = true;
  mResponse.set(http::field::content_type, "application/json");
  mResponse.keep_alive(mKeepAlive);
  mResponse.prepare_payload();
  auto written = [self = shared_from_this()](ErrorCode aError, std::size_t) {
    if (aError) {
      self->Drop("write failed");
      return;
    }
    self->mWriting = false;
    // The answer says whether the connection stays, so a stop that came meanwhile takes effect
    // here.
    if (!self->mResponse.keep_alive()) {
      self->Linger();
      return;
    }
    self->Read();
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
  if (mReading) {
    // Bytes that were read and not reported yet are seen only once the read has ended.
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
  DropAfter(kLingerBound, "lingered for too long");
  Discard();
}

void
WebSession::DropAfter(std::chrono::seconds aTime, const char* aReason)
{
  mDropTimer.expires_after(aTime);
  mDropTimer.async_wait([self = shared_from_this(), aReason](ErrorCode aError) {
    if (!aError) {
      self->Drop(aReason);
    }
  });
}

void
WebSession::Discard()
{
  mBuffer.clear();
  mSocket.async_read_some(mBuffer.prepare(kPiece),
                          [self = shared_from_this()](ErrorCode aError, std::size_t) {
                            if (aError) {
                              self->Drop();
                            } else {
                              self->Discard();
                            }
                          });
}

void
WebSession::Drop(const char* aReason)
{
  const bool isUnanswered = (mCallOpen || mWriting) && mSocket.is_open();
  mCallOpen = false;
  mWriting = false;
  mDropTimer.cancel();
  ErrorCode ignored;
  mSocket.close(ignored);
  const auto unanswered = std::exchange(mUnanswered, nullptr);
  if (isUnanswered && unanswered) {
    mCall.mReason = aReason;
    unanswered(mCall);
  }
  const auto closed = std::exchange(mClosed, nullptr);
  if (closed) {
    closed(this);
  }
}

} // namespace by
