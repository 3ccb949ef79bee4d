#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "by_http/HttpHooks.h"
#include "by_http/detail/HttpLane.h"
#include "by_schema/ConnectionLimits.h"
#include "by_schema/HttpSettings.h"
#include "by_web/WebCapacity.h"

namespace by::detail {

/// @returns the limits of a connection.
ConnectionLimits
LimitsOf(const HttpSettings& aSettings);

/// @returns the room for connections: that of the settings, or less where the machine has less.
WebCapacity
CapacityWithin(const HttpSettings& aSettings);

/// What the server and its connections share.
struct HttpShared
{
  /// @param aContext the io_context on which connections are accepted.
  HttpShared(boost::asio::io_context& aContext, HttpSettings aSettings, HttpHooks aHooks)
    : mSettings(std::move(aSettings))
    , mLimits(LimitsOf(mSettings))
    , mCapacity(CapacityWithin(mSettings))
    , mHooks(std::move(aHooks))
    , mAcceptor(aContext)
    , mAcceptPause(aContext)
  {
  }

  const HttpSettings mSettings;
  /// The limits of each connection, from the settings.
  const ConnectionLimits mLimits;
  /// The room for connections, from the settings and the machine.
  const WebCapacity mCapacity;
  const HttpHooks mHooks;
  /// One for each traffic thread; their number never changes after the start.
  std::deque<HttpLane> mLanes;
  /// Touched on the first traffic thread only, after the start.
  boost::asio::ip::tcp::acceptor mAcceptor;
  /// Spaces out attempts to accept after a failure.
  boost::asio::steady_timer mAcceptPause;
  std::uint16_t mPort{ 0 };
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<std::int64_t> mConnections{ 0 };
  std::atomic<std::uint64_t> mCallCount{ 0 };
  /// Told when the last connection is closed; set before mFinishing.
  std::function<void()> mFinished;
  std::atomic<bool> mFinishing{ false };

  /// @returns bytes that calls which are arriving may hold on each traffic thread.
  std::size_t CallBytesLimit() const
  {
    return static_cast<std::size_t>(mCapacity.mCallBytes) / mLanes.size();
  }
  /// Reports a call that was not read, or a connection that a limit closed.
  void Report(Refusal aReason) const
  {
    if (mHooks.mRefused) {
      mHooks.mRefused(aReason);
    }
  }
  /// Counts a connection, from when it is accepted.
  std::int64_t AddConnection() { return mConnections.fetch_add(1); }
  /// Counts a connection as closed.
  void ReleaseConnection()
  {
    if (mConnections.fetch_sub(1) == 1 && mFinishing.exchange(false)) {
      mFinished();
    }
  }
};

} // namespace by::detail
