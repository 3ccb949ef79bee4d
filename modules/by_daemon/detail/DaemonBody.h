#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"

#include "by_backend/by_backend.h"
#include "by_daemon/detail/TrafficThreads.h"
#include "by_http/by_http.h"
#include "by_node/by_node.h"
#include "by_platform/by_platform.h"
#include "by_schema/NodeEffect.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/NodeSettings.h"
#include "by_telemetry/by_telemetry.h"
#include "by_web/RefusalReport.h"
#include "by_wire/by_wire.h"

namespace by::detail {

/// What stands behind Daemon. All but Deliver() runs on the control thread.
class DaemonBody
{
public:
  DaemonBody(const NodeSettings& aSettings, Logger aLogger);

  /// Opens every socket.
  absl::Status Open();
  /// Runs the control thread until the planned stop is complete.
  bool Run();
  /// Posts an event to the control thread; may be called from any thread.
  void Deliver(NodeEvent aEvent);

private:
  /// Logs what callers were refused, once a second at most.
  void LogRefusal(Refusal aReason);
  void Take(const NodeEvent& aEvent);
  void Perform(const NodeEffect& aEffect);
  void Perform(const AnswerCaller& aEffect);
  void Perform(const SendFrame& aEffect);
  void Perform(const SendHeartbeat& aEffect);
  void Perform(const AppendRecords& aEffect);
  void Perform(const SendLease& aEffect);
  void Perform(const SendStart& aEffect);
  void Perform(const SendCommand& aEffect);
  void Perform(const ReplyOperator& aEffect);
  void Perform(const Exit& aEffect);
  void Perform(const ReadLog& aEffect);
  void Perform(const SetReady& aEffect);
  void Perform(const ConfigInForce& aEffect);
  void Perform(const Note& aEffect);
  void EndAfterFlush();
  void Tick();
  void WatchSignals();
  void UpdateGauges();

  NodeSettings mSettings;
  NodeState mState;
  boost::asio::io_context mControl;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mExitTimer;
  boost::asio::signal_set mSignals;
  std::uint64_t mTicks{ 0 };
  Time mNextGauges{};
  bool mClean{ false };
  Logger mLogger;
  std::unique_ptr<Metrics> mMetrics;
  TrafficThreads mTraffic;
  std::unique_ptr<PeerLinks> mPeers;
  std::unique_ptr<PlatformClient> mPlatform;
  std::unique_ptr<BackendClient> mBackends;
  RefusalReport mRefusals;
  std::unique_ptr<HttpServer> mHttp;
};

} // namespace by::detail
