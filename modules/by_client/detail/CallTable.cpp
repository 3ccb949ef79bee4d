#include "by_client/detail/CallTable.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "by_runtime/MachineClock.h"

namespace by::detail {

namespace {

using boost::system::error_code;

HttpResult
NotSent(std::string aDetail)
{
  return HttpResult::Create({ .mOutcome = CallOutcome::NotSent, .mDetail = std::move(aDetail) })
    .value();
}

} // namespace

CallTable::CallTable(boost::asio::io_context& aContext, const HttpClientSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
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
    Assign(number, aEndpoint);
  }
}

std::shared_ptr<HttpConnection>
CallTable::TakeConnection(const Endpoint& aEndpoint)
{
  auto& pool = mPools[aEndpoint];
  if (!pool.mIdle.empty()) {
    auto connection = std::move(pool.mIdle.back());
    pool.mIdle.pop_back();
    return connection;
  }
  ++pool.mOpen;
  const boost::asio::ip::tcp::endpoint peer(
    boost::asio::ip::make_address(aEndpoint.Address()),
    static_cast<boost::asio::ip::port_type>(aEndpoint.Port()));
  return std::make_shared<HttpConnection>(mContext, peer, mSettings);
}

void
CallTable::Assign(std::uint64_t aNumber, const Endpoint& aEndpoint)
{
  auto connection = TakeConnection(aEndpoint);
  auto& call = mCalls.at(aNumber);
  call.mConnection = connection;
  auto finished = [self = weak_from_this(), aNumber, held = std::weak_ptr(connection)](
                    const HttpResult& aResult, bool aReusable) {
    const auto table = self.lock();
    if (table) {
      table->OnFinished(aNumber, held.lock(), aResult, aReusable);
    }
  };
  connection->Run(call.mCall, std::move(finished));
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
  const auto endpoint = it->second.mCall.Endpoint();
  if (aReusable) {
    KeepIdle(endpoint, aConnection);
  } else {
    --mPools[endpoint].mOpen;
  }
  Dispatch(endpoint);
  End(aNumber, aResult);
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
