#include "by_http/HttpServer.h"

#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "by_http/Replies.h"
#include "by_http/detail/HttpSession.h"
#include "by_http/detail/HttpShared.h"
#include "by_http/detail/LaneOfName.h"

namespace by {

namespace asio = boost::asio;

namespace {

using detail::HttpLane;
using detail::HttpSession;
using detail::HttpShared;
using SharedPointer = std::shared_ptr<HttpShared>;
using ErrorCode = boost::system::error_code;

/// Idle connections that are looked at for one that can give way; others have a call in the kernel.
constexpr int kMostTries = 16;
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

absl::Status
Listen(HttpShared& aShared)
{
  const auto& listen = aShared.mSettings.Listen();
  ErrorCode ec;
  const auto address =
    asio::ip::make_address(listen.Address().empty() ? "127.0.0.1" : listen.Address(), ec);
  const asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(listen.Port()));
  auto& acceptor = aShared.mAcceptor;
  const auto step = [&ec](auto aDo) {
    if (!ec) {
      aDo();
    }
  };
  step([&] { acceptor.open(endpoint.protocol(), ec); });
  step([&] { acceptor.set_option(asio::socket_base::reuse_address(true), ec); });
  step([&] { acceptor.bind(endpoint, ec); });
  step([&] { acceptor.listen(asio::socket_base::max_listen_connections, ec); });
  step([&] { aShared.mPort = acceptor.local_endpoint(ec).port(); });
  if (ec) {
    return absl::UnavailableError(
      absl::StrCat("can't listen on ", listen.Address(), ":", listen.Port(), ": ", ec.message()));
  }
  return absl::OkStatus();
}

/// Closes the connection of a lane that has been idle for longest.
/// @returns whether there was one.
bool
MakeRoom(HttpLane& aLane)
{
  int tries = 0;
  for (auto it = aLane.mIdle.begin(); it != aLane.mIdle.end() && tries < kMostTries; ++tries) {
    // The connection that gives way takes itself out of the list.
    if ((*it++)->GiveWay()) {
      return true;
    }
  }
  return false;
}

void
TakeConnection(const SharedPointer& aShared,
               HttpLane& aLane,
               std::int64_t aOthers,
               asio::ip::tcp::socket aSocket)
{
  const auto& capacity = aShared->mCapacity;
  const bool hasRoom = aOthers < capacity.mConnections || MakeRoom(aLane);
  if (!hasRoom) {
    aShared->Report(Refusal::TooManyConnections);
  }
  if (!hasRoom && aOthers >= capacity.mConnections + capacity.mRefusals) {
    aShared->ReleaseConnection();
    return;
  }
  ErrorCode ec;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto session = std::make_shared<HttpSession>(std::move(aSocket), aShared, aLane);
  if (!hasRoom) {
    session->Reject();
    return;
  }
  session->Start();
  if (aShared->mStopping.load(std::memory_order_relaxed)) {
    session->FinishCall();
  }
}

/// Hands an accepted connection to the thread of its lane.
void
DealConnection(const SharedPointer& aShared, std::size_t aLane, asio::ip::tcp::socket aSocket)
{
  const auto others = aShared->AddConnection();
  auto& lane = aShared->mLanes[aLane];
  asio::post(*lane.mContext, [aShared, &lane, others, socket = std::move(aSocket)]() mutable {
    TakeConnection(aShared, lane, others, std::move(socket));
  });
}

void
Accept(const SharedPointer& aShared, std::size_t aNext);

void
OnAccepted(const SharedPointer& aShared,
           std::size_t aLane,
           ErrorCode aError,
           asio::ip::tcp::socket aSocket)
{
  // A connection may have been accepted just before the listener was closed.
  if (!aError) {
    DealConnection(aShared, aLane, std::move(aSocket));
  }
  if (!aShared->mAcceptor.is_open()) {
    return;
  }
  if (aError) {
    aShared->mAcceptPause.expires_after(kAcceptPause);
    aShared->mAcceptPause.async_wait([aShared, aLane](ErrorCode aWaitError) {
      if (!aWaitError) {
        Accept(aShared, aLane);
      }
    });
    return;
  }
  Accept(aShared, (aLane + 1) % aShared->mLanes.size());
}

void
Accept(const SharedPointer& aShared, std::size_t aNext)
{
  if (!aShared->mAcceptor.is_open()) {
    return;
  }
  aShared->mAcceptor.async_accept(
    *aShared->mLanes[aNext].mContext,
    asio::bind_executor(aShared->mAcceptor.get_executor(),
                        [aShared, aNext](ErrorCode aError, asio::ip::tcp::socket aSocket) {
                          OnAccepted(aShared, aNext, aError, std::move(aSocket));
                        }));
}

/// Runs a function on every lane's own thread.
template<class F>
void
PostToLanes(const SharedPointer& aShared, F aFunction)
{
  for (auto& lane : aShared->mLanes) {
    asio::post(*lane.mContext, [aShared, &lane, aFunction] { aFunction(lane); });
  }
}

/// Calls a method of every connection of a lane.
void
ForEachSession(HttpLane& aLane, void (HttpSession::*aMethod)())
{
  std::vector<std::shared_ptr<HttpSession>> sessions;
  for (const auto& it : aLane.mSessions) {
    if (auto session = it.second.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  for (const auto& session : sessions) {
    (session.get()->*aMethod)();
  }
}

/// Accepts the connections that wait, since the kernel resets them when their listener closes.
void
AcceptQueued(const SharedPointer& aShared)
{
  ErrorCode ec;
  aShared->mAcceptor.non_blocking(true, ec);
  for (std::size_t lane = 0; !ec; lane = (lane + 1) % aShared->mLanes.size()) {
    asio::ip::tcp::socket socket(*aShared->mLanes[lane].mContext);
    aShared->mAcceptor.accept(socket, ec);
    if (!ec) {
      DealConnection(aShared, lane, std::move(socket));
    }
  }
}

void
CloseListener(const SharedPointer& aShared)
{
  // Counted as a connection, so that the last one is closed only after the listener.
  aShared->AddConnection();
  asio::post(aShared->mAcceptor.get_executor(), [aShared] {
    if (aShared->mAcceptor.is_open()) {
      AcceptQueued(aShared);
    }
    ErrorCode ec;
    aShared->mAcceptor.close(ec);
    aShared->mAcceptPause.cancel();
    // Behind the handler of a connection that was accepted before.
    asio::post(aShared->mAcceptor.get_executor(), [aShared] { aShared->ReleaseConnection(); });
  });
}

/// Takes a waiting connection out of a table.
/// @returns the connection, or null where it is gone.
template<class Table, class Key>
std::shared_ptr<HttpSession>
TakeWaiting(Table& aTable, const Key& aKey)
{
  const auto it = aTable.find(aKey);
  if (it == aTable.end()) {
    return nullptr;
  }
  auto session = it->second.lock();
  aTable.erase(it);
  return session;
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Create(std::vector<asio::io_context*> aTraffic,
                   const HttpSettings& aSettings,
                   HttpHooks aHooks)
{
  if (aTraffic.empty()) {
    return absl::InvalidArgumentError("the HTTP server needs a traffic thread");
  }
  auto shared = std::make_shared<HttpShared>(*aTraffic.front(), aSettings, std::move(aHooks));
  for (auto* context : aTraffic) {
    auto& lane = shared->mLanes.emplace_back();
    lane.mContext = context;
    lane.mIndex = shared->mLanes.size() - 1;
  }
  if (auto status = Listen(*shared); !status.ok()) {
    return status;
  }
  asio::post(shared->mAcceptor.get_executor(), [shared] { Accept(shared, 0); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(shared)));
}

HttpServer::HttpServer(std::shared_ptr<detail::HttpShared> aShared)
  : mShared(std::move(aShared))
{
}

HttpServer::~HttpServer()
{
  try {
    Stop();
  } catch (...) {
    // Without memory to post with, the end of the io_contexts closes the connections.
    return;
  }
}

void
HttpServer::Answer(const AnswerCaller& aAnswer)
{
  const auto index = detail::LaneOf(aAnswer.Answer().Request());
  if (!index.has_value() || *index >= mShared->mLanes.size()) {
    return;
  }
  auto& lane = mShared->mLanes[*index];
  asio::post(*lane.mContext, [shared = mShared, &lane, answer = aAnswer.Answer()] {
    if (const auto session = TakeWaiting(lane.mRequests, answer.Request())) {
      session->Resolve(ReplyToCaller(answer));
    }
  });
}

void
HttpServer::Reply(const ReplyOperator& aReply)
{
  auto& lane = mShared->mLanes[detail::LaneOf(aReply.Reply().Call(), mShared->mLanes.size())];
  asio::post(*lane.mContext, [shared = mShared, &lane, reply = aReply.Reply()] {
    if (const auto session = TakeWaiting(lane.mCalls, reply.Call())) {
      session->Resolve(reply);
    }
  });
}

void
HttpServer::SetTokens(const std::shared_ptr<const TeamTokens>& aTokens)
{
  PostToLanes(mShared, [aTokens](HttpLane& aLane) { aLane.mTokens = aTokens; });
}

void
HttpServer::SetReady(bool aReady)
{
  mShared->mReady.store(aReady, std::memory_order_relaxed);
}

std::uint16_t
HttpServer::Port() const
{
  return mShared->mPort;
}

void
HttpServer::StopAccepting()
{
  mShared->mStopping.store(true, std::memory_order_relaxed);
  CloseListener(mShared);
  PostToLanes(mShared, [](HttpLane& aLane) { ForEachSession(aLane, &HttpSession::FinishCall); });
}

void
HttpServer::Finish(std::function<void()> aFinished)
{
  // Counted as a connection until the listener is, so that the last one is not closed before.
  mShared->AddConnection();
  mShared->mFinished = std::move(aFinished);
  mShared->mFinishing.store(true);
  StopAccepting();
  mShared->ReleaseConnection();
}

void
HttpServer::Stop()
{
  mShared->mStopping.store(true, std::memory_order_relaxed);
  CloseListener(mShared);
  PostToLanes(mShared, [](HttpLane& aLane) { ForEachSession(aLane, &HttpSession::Close); });
}

} // namespace by
