#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "by_client/HttpClient.h"
#include "by_client/detail/HttpConnection.h"
#include "by_schema/Endpoint.h"

namespace by::detail {

/// One call whose handler has not been called.
struct OpenCall
{
  HttpCall mCall;
  HttpClient::Handler mHandler;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<HttpConnection> mConnection;
  /// When the call was made.
  Time mSent;
};

/// The connections to one endpoint.
struct EndpointPool
{
  std::size_t mOpen{ 0 };
  std::vector<std::shared_ptr<HttpConnection>> mIdle;
  std::set<std::uint64_t> mWaiting;
};

/// The open calls and the pools of one client.
class CallTable : public std::enable_shared_from_this<CallTable>
{
public:
  CallTable(boost::asio::io_context& aContext,
            const HttpClientSettings& aSettings,
            HttpClient::IdentityReader aIdentity);

  /// Starts a call.
  std::uint64_t Send(HttpCall aCall, HttpClient::Handler aHandler);
  /// Ends a call early.
  void GiveUp(std::uint64_t aNumber, std::string aReason);
  /// Closes all connections and drops all handlers.
  void Close();
  /// @returns calls whose handler has not been called.
  std::size_t OpenCalls() const { return mCalls.size(); }

private:
  void StartTimer(std::uint64_t aNumber, OpenCall& aCall);
  void Dispatch(const Endpoint& aEndpoint);
  void Assign(std::uint64_t aNumber);
  /// @returns an unused connection whose peer is the expected one or not identified yet, or a new
  /// connection.
  std::shared_ptr<HttpConnection> TakeConnection(const HttpCall& aCall);
  void RunCall(std::uint64_t aNumber, const std::shared_ptr<HttpConnection>& aConnection);
  /// Requests the identity of a connection's peer before a call is written.
  void Identify(std::uint64_t aNumber, const std::shared_ptr<HttpConnection>& aConnection);
  void OnIdentified(std::uint64_t aNumber,
                    const std::shared_ptr<HttpConnection>& aConnection,
                    const HttpResult& aResult,
                    bool aReusable);
  void OnFinished(std::uint64_t aNumber,
                  const std::shared_ptr<HttpConnection>& aConnection,
                  const HttpResult& aResult,
                  bool aReusable);
  /// Returns a connection to its pool, or forgets it.
  void Release(const Endpoint& aEndpoint,
               const std::shared_ptr<HttpConnection>& aConnection,
               bool aReusable);
  void KeepIdle(const Endpoint& aEndpoint, const std::shared_ptr<HttpConnection>& aConnection);
  /// Ends a call whose time limit has passed.
  void TimeOut(std::uint64_t aNumber);
  /// Closes the unused connections that have not answered since a time. A call that timed out is a
  /// sign that connections have fallen silent without a reset.
  void CloseSilent(const Endpoint& aEndpoint, Time aSince);
  void PostEnd(std::uint64_t aNumber, std::string aDetail);
  void End(std::uint64_t aNumber, const HttpResult& aResult);

  boost::asio::io_context& mContext;
  HttpClientSettings mSettings;
  HttpClient::IdentityReader mReadIdentity;
  std::uint64_t mLastNumber{ 0 };
  bool mClosed{ false };
  std::unordered_map<std::uint64_t, OpenCall> mCalls;
  std::map<Endpoint, EndpointPool> mPools;
};

} // namespace by::detail
