#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"

#include "by_entry/by_entry.h"
#include "by_entryd/EntryPorts.h"
#include "by_entryd/ReloadedSettings.h"
#include "by_entryd/detail/DelayReport.h"
#include "by_entryd/detail/EntryMetrics.h"
#include "by_entryd/detail/EventQueue.h"
#include "by_links/by_links.h"
#include "by_telemetry/LineSink.h"

namespace by::detail {

/// What stands behind EntryDaemon. Only Deliver() may be called from any thread.
class EntryDaemonBody
{
public:
  EntryDaemonBody(const EntrySettings& aSettings, Time aGrace, ReadSettings aRead);
  ~EntryDaemonBody();

  /// Opens every socket.
  absl::Status Open(const OpenPorts& aOpen);
  /// Runs the control thread until the planned stop is complete.
  bool Run(std::string_view aVersion);
  /// Queues an event for the control thread.
  void Deliver(EntryEvent aEvent);

private:
  void Deliver(std::span<EntryEvent> aEvents);
  void HandleEvents();
  /// Brings the metrics of the configuration and its teams up to date, if they are due.
  void ObserveConfig(Time aNow);
  Effects StepSampled(const std::vector<EntryEvent>& aEvents, Time aNow);
  void ReportDropped(const std::vector<EntryEvent>& aEvents);
  /// Logs a reply whose link was lost before it could leave; its caller is told that the outcome is
  /// uncertain, or asks the owner once more.
  void ReportDroppedReply(const SendToMember& aEffect);
  EntryEvent NextTickEvent();
  /// Logs an unexpected error of a handler.
  void ReportError(const char* aThread, const std::string& aError);
  void Perform(Effects aEffects);
  /// Posts the limits of callers' connections to the traffic thread when they have changed.
  void ApplyConnectionLimits();
  /// Ends the process once the calls that callers have sent are answered.
  void FinishCalls();
  void FinishAfterFlush(Time aBegin);
  void ReportFinish(Time aBegin, bool aAllClosed);
  void PerformOnTraffic(const EntryEffect& aEffect);
  void Write(const LogLine& aLine);
  void ArmTimer();
  void Tick();
  void WatchSignals();
  void Reload();

  EntryState mState;
  Time mGrace;
  ReadSettings mRead;
  boost::asio::io_context mControl;
  boost::asio::io_context mTraffic;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mTrafficWork;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mExitTimer;
  boost::asio::signal_set mSignals;
  /// The limits that the traffic thread was told last.
  ConnectionLimits mConnectionLimits;
  Time mTimerDue{ Time::Never() };
  Time mStopRequestedAt{ Time::Never() };
  std::uint64_t mTicks{ 0 };
  bool mIsTickQueued{ false };
  EventQueue mEvents;
  /// The longest wait of an event since the previous tick.
  Time mQueueDelay{};
  DelayReport mDelayReport;
  std::uint64_t mBatches{ 0 };
  Time mNextSample{};
  std::uint64_t mSampledVersion{ 0 };
  bool mClean{ false };
  LineSink mLog;
  /// The text of the last log line; kept for its storage.
  std::string mLine;
  EntryMetrics mMetrics;
  std::shared_ptr<LinkClient> mLink;
  std::shared_ptr<LinkServer> mMembers;
  EntryPorts mPorts;
  std::thread mTrafficThread;
};

} // namespace by::detail
