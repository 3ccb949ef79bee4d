#include "backend_server/BackendService.h"

#include <algorithm>
#include <chrono>
#include <iostream>

#include "backend_server/ServerFunctions.h"
#include "by_json/by_json.h"
#include "by_json/generated/backend_json.h"
#include "by_json/generated/standins_json.h"
#include "by_runtime/MachineClock.h"
#include "by_runtime/RandomIds.h"
#include "common/Answers.h"
#include "common/WideLimits.h"

namespace by::standins {

namespace {

/// How long a server that a task has crashed takes to start again.
constexpr std::chrono::milliseconds kRestartTime{ 2000 };

} // namespace

absl::StatusOr<std::unique_ptr<BackendService>>
BackendService::Create(boost::asio::io_context& aContext, const BackendVmSettings& aSettings)
{
  std::unique_ptr<BackendService> service(new BackendService(aContext, aSettings));
  auto status = service->Listen(aContext);
  if (!status.ok()) {
    return status;
  }
  return service;
}

BackendService::BackendService(boost::asio::io_context& aContext,
                               const BackendVmSettings& aSettings)
  : mTimer(aContext)
  , mRestart(aContext)
{
  mState.mSettings = aSettings;
  mState.mIncarnation = DrawIncarnation();
}

absl::Status
BackendService::Listen(boost::asio::io_context& aContext)
{
  auto handle = [this](const WebRequest& aIncoming, const Session& aSession) {
    OnCall(aIncoming, aSession);
  };
  const auto& settings = mState.mSettings;
  auto server =
    WebServer::Create(aContext, settings.Listen(), CapacityOf(settings.Connections()), handle);
  if (!server.ok()) {
    return server.status();
  }
  mServer = *std::move(server);
  mServer->SetLimits(WideLimits());
  return absl::OkStatus();
}

BackendVmSettings
BackendService::Settings() const
{
  return mState.mSettings.WithListen(mServer->Listening());
}

BackendCounters
BackendService::Counters() const
{
  return CountersOf(mState).WithRefusedConnections(mServer->RefusedConnections());
}

void
BackendService::OnCall(const WebRequest& aIncoming, const Session& aSession)
{
  if (aIncoming.mPath == "/v1/counters") {
    AnswerWith(aSession, Counters());
  } else if (aIncoming.mPath == "/v1/switch") {
    BackendSwitch turned;
    if (ReadOrRefuse(aIncoming, aSession, turned)) {
      AnswerWith(aSession, turned);
      Turn(turned).IgnoreError();
    }
  } else if (mState.mSwitch.Paused()) {
    mHeldCalls.emplace_back(aIncoming, aSession);
  } else {
    Serve(aIncoming, aSession);
  }
}

void
BackendService::Serve(const WebRequest& aIncoming, const Session& aSession)
{
  EndDue();
  if (aIncoming.mPath == "/v1/lease") {
    OnLease(aIncoming, aSession);
  } else if (aIncoming.mPath == "/v1/start") {
    OnStart(aIncoming, aSession);
  } else if (aIncoming.mPath == "/v1/command") {
    OnCommand(aIncoming, aSession);
  } else {
    AnswerError(aSession, kNotFound, "no such path");
  }
  SetTimer();
}

void
BackendService::OnLease(const WebRequest& aIncoming, const Session& aSession)
{
  LeaseRequest request;
  if (ReadOrRefuse(aIncoming, aSession, request)) {
    AnswerWith(aSession, GrantLease(mState, request, MachineNow()));
  }
}

void
BackendService::OnStart(const WebRequest& aIncoming, const Session& aSession)
{
  TaskStart start;
  if (!ReadOrRefuse(aIncoming, aSession, start)) {
    return;
  }
  const auto answer = StartTask(mState, start, MachineNow());
  if (answer) {
    AnswerWith(aSession, *answer);
    return;
  }
  mOpenStarts.insert_or_assign({ start.Task(), start.Generation() }, aSession);
}

void
BackendService::OnCommand(const WebRequest& aIncoming, const Session& aSession)
{
  TaskCommand command;
  if (!ReadOrRefuse(aIncoming, aSession, command)) {
    return;
  }
  const auto ended = ActOnTask(mState, command, MachineNow());
  if (ended) {
    AnswerEnded(*ended);
  }
  aSession->Answer(kOk, "{}");
}

void
BackendService::Finish(const TaskId& aTask)
{
  if (const auto ended = FinishTask(mState, aTask, MachineNow())) {
    AnswerEnded(*ended);
  }
}

absl::Status
BackendService::Turn(const BackendSwitch& aSwitch)
{
  const auto before = mState.mSwitch;
  mState.mSwitch = aSwitch;
  if (aSwitch.Dead() && !before.Dead()) {
    EndProcess();
  }
  if (before.Paused() && !aSwitch.Paused()) {
    ServeHeldCalls();
  }
  SetTimer();
  return aSwitch.Dead() ? absl::OkStatus() : mServer->Reopen();
}

void
BackendService::ServeHeldCalls()
{
  const auto held = std::exchange(mHeldCalls, {});
  for (const auto& [incoming, session] : held) {
    Serve(incoming, session);
  }
}

void
BackendService::EndProcess()
{
  LoseState(mState, DrawIncarnation());
  mOpenStarts.clear();
  mHeldCalls.clear();
  mServer->Close();
}

void
BackendService::Crash()
{
  EndProcess();
  mRestart.expires_after(kRestartTime);
  mRestart.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !mState.mSwitch.Dead()) {
      const auto status = mServer->Reopen();
      if (!status.ok()) {
        std::cerr << "The server can't start again: " << status.message() << '\n';
      }
    }
  });
}

void
BackendService::EndDue()
{
  if (IsCrashDue(mState, MachineNow())) {
    Crash();
    return;
  }
  for (const auto& result : EndDueTasks(mState, MachineNow())) {
    AnswerEnded(result);
  }
}

void
BackendService::AnswerEnded(const TaskResult& aResult)
{
  auto open = mOpenStarts.extract({ aResult.Task(), aResult.Generation() });
  if (!open.empty()) {
    AnswerWith(open.mapped(), aResult);
  }
}

void
BackendService::SetTimer()
{
  const auto due = NextDue(mState);
  if (!due || mState.mSwitch.Paused()) {
    mTimer.cancel();
    return;
  }
  const auto wait = std::max(Time(), *due - MachineNow());
  mTimer.expires_after(std::chrono::milliseconds(wait.Milliseconds()));
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !mState.mSwitch.Paused()) {
      EndDue();
      SetTimer();
    }
  });
}

} // namespace by::standins
