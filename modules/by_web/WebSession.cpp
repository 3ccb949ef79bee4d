#include "by_web/WebSession.h"

#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "by_web/QueryText.h"

namespace by {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kBodyLimit = std::uint64_t{ 64 } * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;
constexpr unsigned kPayloadTooLarge = 413;

} // namespace

WebSession::WebSession(boost::asio::ip::tcp::socket aSocket,
                       std::vector<std::string> aKeptHeaders,
                       Handler aHandler,
                       Closed aClosed)
  : mSocket(std::move(aSocket))
  , mKeptHeaders(std::move(aKeptHeaders))
  , mHandler(std::move(aHandler))
  , mClosed(std::move(aClosed))
{
}

void
WebSession::Start()
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void
WebSession::Read()
{
  mParser.emplace();
  mParser->body_limit(kBodyLimit);
  auto received = [self = shared_from_this()](error_code aError, std::size_t) {
    if (aError == http::error::body_limit) {
      self->mCallOpen = true;
      self->mKeepAlive = false;
      self->Answer(kPayloadTooLarge, "");
      return;
    }
    if (aError) {
      self->Drop();
      return;
    }
    self->OnCall();
  };
  http::async_read(mSocket, mBuffer, *mParser, std::move(received));
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
    const auto it = request.find(name);
    if (it != request.end()) {
      incoming.mHeaders.emplace(name, std::string(it->value()));
    }
  }
  mKeepAlive = mKeepAlive && request.keep_alive();
  incoming.mBody = std::move(request.body());
  mCallOpen = true;
  mHandler(incoming, shared_from_this());
  if (mCallOpen) {
    WatchPeer();
  }
}

void
WebSession::WatchPeer()
{
  auto readable = [self = shared_from_this()](error_code aError) {
    error_code ec;
    const bool isGone = !aError && self->mSocket.available(ec) == 0;
    if (self->mCallOpen && (isGone || ec)) {
      self->Drop();
    }
  };
  mSocket.async_wait(boost::asio::ip::tcp::socket::wait_read, std::move(readable));
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
  auto written = [self = shared_from_this()](error_code aError, std::size_t) {
    self->mWriting = false;
    if (aError || !self->mKeepAlive) {
      self->Drop();
      return;
    }
    self->Read();
  };
  http::async_write(mSocket, mResponse, std::move(written));
}

void
WebSession::CloseSoon()
{
  mKeepAlive = false;
  const bool hasBegun = mBuffer.size() > 0 || (mParser && mParser->got_some());
  if (!mCallOpen && !mWriting && !hasBegun) {
    Drop();
  }
}

void
WebSession::Drop()
{
  mCallOpen = false;
  error_code ignored;
  mSocket.close(ignored);
  auto closed = std::exchange(mClosed, nullptr);
  if (closed) {
    closed(this);
  }
}

} // namespace by
