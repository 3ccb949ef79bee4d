#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/statusor.h"

#include "backend_server/ServerState.h"
#include "by_schema/BackendCounters.h"
#include "by_schema/TaskResult.h"
#include "by_web/WebServer.h"

namespace by::standins {

/// One backend server stand-in over HTTP.
class BackendService
{
public:
  /// Starts to listen.
  /// @returns the service, or the error of the port.
  static absl::StatusOr<std::unique_ptr<BackendService>> Create(boost::asio::io_context& aContext,
                                                                const BackendVmSettings& aSettings);

  /// @returns the settings with the port that it listens on.
  BackendVmSettings Settings() const;

  /// Turns the switches.
  /// @returns OK, or the error of the port of a server that was dead.
  absl::Status Turn(const BackendSwitch& aSwitch);

  /// Lets a running task end before its time, and answers its start.
  void Finish(const TaskId& aTask);

  /// @returns what was counted.
  BackendCounters Counters() const;

private:
  using Session = std::shared_ptr<WebSession>;

  BackendService(boost::asio::io_context& aContext, const BackendVmSettings& aSettings);

  absl::Status Listen(boost::asio::io_context& aContext);
  void OnCall(const WebRequest& aIncoming, const Session& aSession);
  void Serve(const WebRequest& aIncoming, const Session& aSession);
  void OnLease(const WebRequest& aIncoming, const Session& aSession);
  void OnStart(const WebRequest& aIncoming, const Session& aSession);
  void OnCommand(const WebRequest& aIncoming, const Session& aSession);
  void ServeHeldCalls();
  void EndProcess();
  /// Ends the process of the server, and starts the next one after a time.
  void Crash();
  void EndDue();
  void AnswerEnded(const TaskResult& aResult);
  void SetTimer();

  ServerState mState;
  std::shared_ptr<WebServer> mServer;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mRestart;
  std::map<std::pair<TaskId, std::uint64_t>, Session> mOpenStarts;
  std::vector<std::pair<WebRequest, Session>> mHeldCalls;
};

} // namespace by::standins
