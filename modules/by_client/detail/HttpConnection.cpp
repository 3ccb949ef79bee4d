#include "by_client/detail/HttpConnection.h"

#include <chrono>
#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/str_cat.h"

#include "by_runtime/MachineClock.h"

namespace by::detail {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttpVersion = 11;

http::verb
VerbOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return http::verb::get;
    case HttpMethod::Post:
      return http::verb::post;
    case HttpMethod::Put:
      return http::verb::put;
    case HttpMethod::Delete:
      return http::verb::delete_;
  }
  return http::verb::get;
}

http::request<http::string_body>
RequestOf(const HttpCall& aCall)
{
  http::request<http::string_body> request(VerbOf(aCall.Method()), aCall.Target(), kHttpVersion);
  request.set(http::field::host,
              absl::StrCat(aCall.Endpoint().Address(), ":", aCall.Endpoint().Port()));
  request.set(http::field::user_agent, "bergamotyard");
  if (!aCall.BearerToken().empty()) {
    request.set(http::field::authorization, absl::StrCat("Bearer ", aCall.BearerToken()));
  }
  if (!aCall.Body().empty()) {
    request.set(http::field::content_type, "application/json");
  }
  for (const auto& header : aCall.Headers()) {
    request.set(header.Name(), header.Value());
  }
  request.body() = aCall.Body();
  request.prepare_payload();
  return request;
}

} // namespace

HttpConnection::HttpConnection(boost::asio::io_context& aContext,
                               boost::asio::ip::tcp::endpoint aPeer,
                               const HttpClientSettings& aSettings)
  : mSocket(aContext)
  , mIdleTimer(aContext)
  , mPeer(std::move(aPeer))
  , mSettings(aSettings)
{
}

void
HttpConnection::Run(const HttpCall& aCall, Finished aFinished)
{
  mRequest = RequestOf(aCall);
  mFinished = std::move(aFinished);
  mEnded = nullptr;
  mIdleTimer.cancel();
  if (mStage == Stage::Idle) {
    Write();
    return;
  }
  mStage = Stage::Connecting;
  mSocket.async_connect(mPeer, [self = shared_from_this()](error_code aError) {
    if (aError) {
      self->Fail(CallOutcome::NotSent, aError);
      return;
    }
    error_code ignored;
    self->mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

void
HttpConnection::Write()
{
  mStage = Stage::Writing;
  auto written = [self = shared_from_this()](error_code aError, std::size_t aBytes) {
    if (aError) {
      self->Fail(aBytes == 0 ? CallOutcome::NotSent : CallOutcome::Lost, aError);
      return;
    }
    self->Read();
  };
  http::async_write(mSocket, mRequest, std::move(written));
}

void
HttpConnection::Read()
{
  mStage = Stage::Reading;
  mParser.emplace();
  mParser->body_limit(static_cast<std::uint64_t>(mSettings.ResponseLimit()));
  auto received = [self = shared_from_this()](error_code aError, std::size_t) {
    if (aError) {
      self->Fail(CallOutcome::Lost, aError);
      return;
    }
    self->Succeed();
  };
  http::async_read(mSocket, mBuffer, *mParser, std::move(received));
}

void
HttpConnection::Succeed()
{
  mAnsweredAt = MachineNow();
  auto response = mParser->release();
  mParser.reset();
  const bool reusable = response.keep_alive() && mSocket.is_open();
  if (reusable) {
    mStage = Stage::Idle;
  } else {
    Close("");
    mStage = Stage::Closed;
  }
  Report(HttpResult::Create({ .mOutcome = CallOutcome::Completed,
                              .mStatusCode = static_cast<std::int64_t>(response.result_int()),
                              .mBody = std::move(response.body()) })
           .value(),
         reusable);
}

void
HttpConnection::Fail(CallOutcome aOutcome, const error_code& aError)
{
  mParser.reset();
  auto detail = mCloseReason.empty() ? aError.message() : mCloseReason;
  Close("");
  mStage = Stage::Closed;
  Report(HttpResult::Create({ .mOutcome = aOutcome, .mDetail = std::move(detail) }).value(), false);
}

void
HttpConnection::Report(const HttpResult& aResult, bool aReusable)
{
  auto finished = std::exchange(mFinished, nullptr);
  if (finished) {
    finished(aResult, aReusable);
  }
}

void
HttpConnection::WatchIdle(Ended aEnded)
{
  mEnded = std::move(aEnded);
  const auto period = ++mIdlePeriod;
  mSocket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this(), period](error_code) { self->EndIdle(period); });
  mIdleTimer.expires_after(std::chrono::milliseconds(mSettings.IdleTimeout().Milliseconds()));
  mIdleTimer.async_wait([self = shared_from_this(), period](error_code aError) {
    if (!aError) {
      self->EndIdle(period);
    }
  });
}

void
HttpConnection::EndIdle(std::uint64_t aPeriod)
{
  if (aPeriod != mIdlePeriod || mStage != Stage::Idle || !mEnded) {
    return;
  }
  auto ended = std::exchange(mEnded, nullptr);
  Close("");
  mStage = Stage::Closed;
  ended();
}

void
HttpConnection::CloseIdle()
{
  mEnded = nullptr;
  mStage = Stage::Closed;
  Close("");
}

void
HttpConnection::Close(std::string aReason)
{
  mCloseReason = std::move(aReason);
  mIdleTimer.cancel();
  error_code ignored;
  mSocket.close(ignored);
}

} // namespace by::detail
