#include "by_http/HttpFixture.h"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace by::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kIdDigits = 32;

} // namespace

HttpFixture::HttpFixture(HttpSettings::Fields aSettings)
  : mContexts(2)
{
  std::vector<asio::io_context*> contexts;
  for (auto& context : mContexts) {
    contexts.push_back(&context);
    mGuards.push_back(asio::make_work_guard(context));
  }
  HttpHooks hooks;
  hooks.mDeliver = [this](NodeEvent aEvent) {
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aEvent));
    mArrived.notify_one();
  };
  hooks.mDrawId = [this] {
    const auto digits = std::to_string(++mDrawn);
    return std::string(kIdDigits - digits.size(), '0') + digits;
  };
  hooks.mMetricsText = [] { return std::string("by_up 1\n"); };
  aSettings.mOperatorToken = kOperatorToken;
  mServer =
    HttpServer::Create(contexts, HttpSettings::Create(std::move(aSettings)).value(), hooks).value();
  const auto tokens =
    TeamTokens::Create(
      { .mTokens = { TeamToken::Create({ .mTeam = TeamId("arreo"), .mToken = kArreoToken }).value(),
                     TeamToken::Create(
                       { .mTeam = TeamId("lakfaelles"), .mToken = kLakfaellesToken })
                       .value() } })
      .value();
  mServer->SetTokens(std::make_shared<const TeamTokens>(tokens));
  for (auto& context : mContexts) {
    mThreads.emplace_back([&context] { context.run(); });
  }
}

HttpFixture::~HttpFixture()
{
  mServer->Stop();
  for (auto& guard : mGuards) {
    guard.reset();
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
  // Handlers of the second context may hold the listener, which belongs to the first.
  mServer.reset();
  while (!mContexts.empty()) {
    mContexts.pop_back();
  }
}

NodeEvent
HttpFixture::NextEvent()
{
  std::unique_lock lock(mMutex);
  mArrived.wait(lock, [this] { return !mEvents.empty(); });
  auto event = std::move(mEvents.front());
  mEvents.pop_front();
  return event;
}

RequestId
HttpFixture::NextRequest()
{
  return std::get<CallerSubmitted>(NextEvent().Body()).Request().Id();
}

void
HttpFixture::HoldTraffic()
{
  mRelease = {};
  const auto released = mRelease.get_future().share();
  for (auto& context : mContexts) {
    std::promise<void> held;
    asio::post(context, [&held, released] {
      held.set_value();
      released.wait();
    });
    held.get_future().wait();
  }
}

void
HttpFixture::ReleaseTraffic()
{
  mRelease.set_value();
}

HttpPeer::HttpPeer(std::uint16_t aPort)
  : mSocket(mContext)
{
  mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
}

void
HttpPeer::SendRaw(const std::string& aBytes)
{
  ErrorCode ec;
  asio::write(mSocket, asio::buffer(aBytes), ec);
}

void
HttpPeer::Send(const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aToken,
               const std::string& aBody)
{
  http::request<http::string_body> call;
  call.method_string(aMethod);
  call.target(aTarget);
  call.set(http::field::host, "node");
  if (!aToken.empty()) {
    call.set(http::field::authorization, "Bearer " + aToken);
  }
  call.body() = aBody;
  call.prepare_payload();
  ErrorCode ec;
  http::write(mSocket, call, ec);
}

std::optional<HttpPeer::Response>
HttpPeer::Read()
{
  Response response;
  ErrorCode ec;
  http::read(mSocket, mBuffer, response, ec);
  if (ec) {
    return std::nullopt;
  }
  return response;
}

std::optional<HttpPeer::Response>
HttpPeer::Call(const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aToken,
               const std::string& aBody)
{
  Send(aMethod, aTarget, aToken, aBody);
  return Read();
}

void
HttpPeer::ShutDownSending()
{
  ErrorCode ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void
HttpPeer::Close()
{
  ErrorCode ec;
  mSocket.close(ec);
}

} // namespace by::test
