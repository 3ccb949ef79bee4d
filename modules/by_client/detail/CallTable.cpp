#include "by_client/detail/CallTable.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "by_runtime/MachineClock.h"

namespace by::detail {

namespace {

using boost::system::error_code;

constexpr std::int64_t kOk = 200;

HttpResult
NotSent(std::string aDetail)
{
  return HttpResult::Create({ .mOutcome = CallOutcome::NotSent, .mDetail = std::move(aDetail) })
    .value();
}

} // namespace

CallTable::CallTable(boost::asio::io_context& aContext,
                     const HttpClientSettings& aSettings,
                     HttpClient::IdentityReader aIdentity)
  : mContext(aContext)
  , mSettings(aSettings)
  , mReadIdentity(std::move(aIdentity))
{
}

std::uint64_t
CallTable::Send(HttpCall aCall, HttpClient::Handler aHandler)
{
  const auto number = ++mLastNumber;
  const auto endpoint = aCall.Endpoint();
  auto [it, isNew] = mCalls.emplace(number,
                                    OpenCall{ .mCall = std::move(aCall),
                                              .mHandler = std::move(aHandler),
                                              .mTimer = boost::asio::steady_timer(mContext),
                                              .mConnection = nullptr,
                                              .mSent = MachineNow() });
  error_code ec;
  boost::asio::ip::make_address(endpoint.Address(), ec);
  if (ec) {
    PostEnd(number, "the address is malformed");
    return number;
  }
  auto& pool = mPools[endpoint];
  const bool mustWait =
    pool.mIdle.empty() && pool.mOpen >= static_cast<std::size_t>(mSettings.MaxConnections());
  if (mustWait && pool.mWaiting.size() >= static_cast<std::size_t>(mSettings.MaxWaiting())) {
    PostEnd(number, "too many calls wait for a connection");
    return number;
  }
  StartTimer(number, it->second);
  pool.mWaiting.insert(number);
  Dispatch(endpoint);
  return number;
}

void
CallTable::StartTimer(std::uint64_t aNumber, OpenCall& aCall)
{
  aCall.mTimer.expires_after(std::chrono::milliseconds(aCall.mCall.Timeout().Milliseconds()));
  aCall.mTimer.async_wait([self = weak_from_this(), aNumber](error_code aError) {
    const auto table = self.lock();
    if (!aError && table) {
      table->TimeOut(aNumber);
    }
  });
}

void
CallTable::Dispatch(const Endpoint& aEndpoint)
{
  auto& pool = mPools[aEndpoint];
  while (!pool.mWaiting.empty()) {
    if (pool.mIdle.empty() && pool.mOpen >= static_cast<std::size_t>(mSettings.MaxConnections())) {
      return;
    }
    const auto number = *pool.mWaiting.begin();
    pool.mWaiting.erase(pool.mWaiting.begin());
    Assign(number);
  }
}

std::shared_ptr<HttpConnection>
CallTable::TakeConnection(const HttpCall& aCall)
{
  const auto& endpoint = aCall.Endpoint();
  auto& pool = mPools[endpoint];
  auto it = pool.mIdle.rbegin();
  if (aCall.PeerCheck()) {
    const auto& expected = aCall.PeerCheck()->Expected();
    // A connection to another peer is no longer of use: that process, or this call, is outdated.
    pool.mOpen -= std::erase_if(pool.mIdle, [&](const auto& aIdle) {
      const bool isOther = !aIdle->PeerIdentity().empty() && aIdle->PeerIdentity() != expected;
      if (isOther) {
        aIdle->CloseIdle();
      }
      return isOther;
    });
    it = std::find_if(pool.mIdle.rbegin(), pool.mIdle.rend(), [&](const auto& aIdle) {
      return aIdle->PeerIdentity() == expected;
    });
    it = it == pool.mIdle.rend() ? pool.mIdle.rbegin() : it;
  }
  if (it != pool.mIdle.rend()) {
    auto connection = *it;
    pool.mIdle.erase(std::next(it).base());
    return connection;
  }
  ++pool.mOpen;
  const boost::asio::ip::tcp::endpoint peer(
    boost::asio::ip::make_address(endpoint.Address()),
    static_cast<boost::asio::ip::port_type>(endpoint.Port()));
  return std::make_shared<HttpConnection>(mContext, peer, mSettings);
}

void
CallTable::Assign(std::uint64_t aNumber)
{
  auto& call = mCalls.at(aNumber);
  call.mConnection = TakeConnection(call.mCall);
  if (call.mCall.PeerCheck() && call.mConnection->PeerIdentity().empty()) {
    Identify(aNumber, call.mConnection);
  } else {
    RunCall(aNumber, call.mConnection);
  }
}

void
CallTable::RunCall(std::uint64_t aNumber, const std::shared_ptr<HttpConnection>& aConnection)
{
  auto finished = [self = weak_from_this(), aNumber, held = std::weak_ptr(aConnection)](
                    const HttpResult& aResult, bool aReusable) {
    const auto table = self.lock();
    if (table) {
      table->OnFinished(aNumber, held.lock(), aResult, aReusable);
    }
  };
  aConnection->Run(mCalls.at(aNumber).mCall, std::move(finished));
}

void
CallTable::Identify(std::uint64_t aNumber, const std::shared_ptr<HttpConnection>& aConnection)
{
  const auto& call = mCalls.at(aNumber).mCall;
  auto finished = [self = weak_from_this(), aNumber, held = std::weak_ptr(aConnection)](
                    const HttpResult& aResult, bool aReusable) {
    const auto table = self.lock();
    if (table) {
      table->OnIdentified(aNumber, held.lock(), aResult, aReusable);
    }
  };
  aConnection->Run(call.WithTarget(call.PeerCheck()->Target()).WithBody(call.PeerCheck()->Body()),
                   std::move(finished));
}

void
CallTable::OnIdentified(std::uint64_t aNumber,
                        const std::shared_ptr<HttpConnection>& aConnection,
                        const HttpResult& aResult,
                        bool aReusable)
{
  const auto it = mCalls.find(aNumber);
  if (mClosed || it == mCalls.end()) {
    return;
  }
  const auto call = it->second.mCall;
  const bool isAnswered = aResult.Outcome() == CallOutcome::Completed;
  const auto identity = isAnswered && mReadIdentity ? mReadIdentity(aResult) : std::string();
  if (aConnection) {
    aConnection->SetPeerIdentity(identity);
  }
  const bool isExpected = identity == call.PeerCheck()->Expected();
  if (aReusable && isExpected) {
    RunCall(aNumber, aConnection);
    return;
  }
  Release(call.Endpoint(), aConnection, aReusable);
  if (!identity.empty() && !isExpected) {
    End(aNumber, aResult.WithOutcome(CallOutcome::OtherPeer));
  } else if (isAnswered && aResult.StatusCode() != kOk) {
    // A peer that turns its identification away would turn the call away too.
    End(aNumber, aResult);
  } else {
    End(aNumber, NotSent(absl::StrCat("no identified connection: ", aResult.Detail())));
  }
}

void
CallTable::OnFinished(std::uint64_t aNumber,
                      const std::shared_ptr<HttpConnection>& aConnection,
                      const HttpResult& aResult,
                      bool aReusable)
{
  const auto it = mCalls.find(aNumber);
  if (mClosed || it == mCalls.end()) {
    return;
  }
  if (mReadIdentity && aReusable && aConnection->PeerIdentity().empty()) {
    aConnection->SetPeerIdentity(mReadIdentity(aResult));
  }
  Release(it->second.mCall.Endpoint(), aConnection, aReusable);
  End(aNumber, aResult);
}

void
CallTable::Release(const Endpoint& aEndpoint,
                   const std::shared_ptr<HttpConnection>& aConnection,
                   bool aReusable)
{
  if (aReusable) {
    KeepIdle(aEndpoint, aConnection);
  } else {
    --mPools[aEndpoint].mOpen;
  }
  Dispatch(aEndpoint);
}

void
CallTable::KeepIdle(const Endpoint& aEndpoint, const std::shared_ptr<HttpConnection>& aConnection)
{
  mPools[aEndpoint].mIdle.push_back(aConnection);
  auto ended = [self = weak_from_this(), aEndpoint, held = aConnection.get()] {
    const auto table = self.lock();
    if (!table || table->mClosed) {
      return;
    }
    auto& pool = table->mPools[aEndpoint];
    std::erase_if(pool.mIdle, [held](const auto& aIdle) { return aIdle.get() == held; });
    --pool.mOpen;
    table->Dispatch(aEndpoint);
  };
  aConnection->WatchIdle(std::move(ended));
}

void
CallTable::GiveUp(std::uint64_t aNumber, std::string aReason)
{
  const auto it = mCalls.find(aNumber);
  if (it == mCalls.end()) {
    return;
  }
  if (it->second.mConnection) {
    it->second.mConnection->Close(std::move(aReason));
    return;
  }
  mPools[it->second.mCall.Endpoint()].mWaiting.erase(aNumber);
  PostEnd(aNumber, std::move(aReason));
}

void
CallTable::TimeOut(std::uint64_t aNumber)
{
  if (const auto it = mCalls.find(aNumber); it != mCalls.end()) {
    CloseSilent(it->second.mCall.Endpoint(), it->second.mSent);
  }
  GiveUp(aNumber, "timed out");
}

void
CallTable::CloseSilent(const Endpoint& aEndpoint, Time aSince)
{
  auto& pool = mPools[aEndpoint];
  pool.mOpen -= std::erase_if(pool.mIdle, [aSince](const auto& aIdle) {
    const bool isSilent = aIdle->AnsweredAt() <= aSince;
    if (isSilent) {
      aIdle->CloseIdle();
    }
    return isSilent;
  });
}

void
CallTable::PostEnd(std::uint64_t aNumber, std::string aDetail)
{
  boost::asio::post(mContext, [self = weak_from_this(), aNumber, detail = std::move(aDetail)] {
    const auto table = self.lock();
    if (table) {
      table->End(aNumber, NotSent(detail));
    }
  });
}

void
CallTable::End(std::uint64_t aNumber, const HttpResult& aResult)
{
  auto ended = mCalls.extract(aNumber);
  if (!ended.empty() && !mClosed) {
    ended.mapped().mTimer.cancel();
    ended.mapped().mHandler(aNumber, aResult);
  }
}

void
CallTable::Close()
{
  mClosed = true;
  for (auto& [number, call] : mCalls) {
    call.mTimer.cancel();
    if (call.mConnection) {
      call.mConnection->Close("the client was closed");
    }
  }
  for (auto& [endpoint, pool] : mPools) {
    for (const auto& connection : pool.mIdle) {
      connection->Close("");
    }
  }
  mCalls.clear();
  mPools.clear();
}

} // namespace by::detail
