#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/statusor.h"

#include "by_schema/PlatformStandinSettings.h"
#include "by_schema/PlatformSwitch.h"
#include "by_web/WebServer.h"
#include "platform/PlatformLog.h"
#include "platform/VmHistory.h"

namespace by::standins {

/// The platform stand-in: an append-only log and a lagging list of VMs over HTTP.
class PlatformService
{
public:
  /// Starts to listen.
  /// @returns the service, or the error of the port.
  static absl::StatusOr<std::unique_ptr<PlatformService>> Create(
    boost::asio::io_context& aContext,
    const PlatformStandinSettings& aSettings);

  /// @returns the settings with the port that it listens on.
  PlatformStandinSettings Settings() const { return mSettings.WithListen(mServer->Listening()); }

private:
  using Session = std::shared_ptr<WebSession>;

  /// A read that waits for a record.
  struct Waiter
  {
    Session mSession;
    std::uint64_t mFrom;
    std::size_t mLimit;
    boost::asio::steady_timer mTimer;
  };

  PlatformService(boost::asio::io_context& aContext, const PlatformStandinSettings& aSettings);

  void OnCall(const WebRequest& aIncoming, const Session& aSession);
  void OnControlCall(const WebRequest& aIncoming, const Session& aSession);
  void After(Time aDelay, std::function<void()> aThen);
  void Serve(const WebRequest& aIncoming, const Session& aSession);
  void OnAppend(const WebRequest& aIncoming, const Session& aSession);
  void OnRead(const WebRequest& aIncoming, const Session& aSession);
  void AnswerRead(std::uint64_t aFrom, std::size_t aLimit, const Session& aSession);
  void OnVmsChange(const WebRequest& aIncoming, const Session& aSession);
  void WakeWaiters();
  void DropWaiters();

  boost::asio::io_context& mContext;
  PlatformStandinSettings mSettings;
  std::shared_ptr<WebServer> mServer;
  PlatformSwitch mSwitch;
  PlatformLog mLog;
  VmHistory mVms;
  std::unordered_map<std::uint64_t, Waiter> mWaiters;
  std::uint64_t mLastWaiter{ 0 };
  std::int64_t mAppends{ 0 };
  std::int64_t mRefused{ 0 };
  std::int64_t mLostAnswers{ 0 };
  std::int64_t mOutageCalls{ 0 };
};

} // namespace by::standins
