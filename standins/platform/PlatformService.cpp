#include "platform/PlatformService.h"

#include <chrono>
#include <utility>

#include "by_json/by_json.h"
#include "by_json/generated/common_json.h"
#include "by_json/generated/platform_json.h"
#include "by_json/generated/standins_json.h"
#include "by_runtime/MachineClock.h"
#include "by_web/QueryText.h"
#include "common/Answers.h"
#include "common/WideLimits.h"
#include "platform/LogFunctions.h"

namespace by::standins {

namespace {

constexpr std::int64_t kMaxConnections = 10000;
constexpr std::int64_t kDefaultReadLimit = 512;

} // namespace

absl::StatusOr<std::unique_ptr<PlatformService>>
PlatformService::Create(boost::asio::io_context& aContext, const PlatformStandinSettings& aSettings)
{
  std::unique_ptr<PlatformService> service(new PlatformService(aContext, aSettings));
  auto handle = [raw = service.get()](const WebRequest& aIncoming, const Session& aSession) {
    raw->OnCall(aIncoming, aSession);
  };
  auto server =
    WebServer::Create(aContext, aSettings.Listen(), CapacityOf(kMaxConnections), handle);
  if (!server.ok()) {
    return server.status();
  }
  service->mServer = *std::move(server);
  service->mServer->SetLimits(WideLimits());
  return service;
}

PlatformService::PlatformService(boost::asio::io_context& aContext,
                                 const PlatformStandinSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
{
  Change(mVms, VmListChange::Create({ .mSet = aSettings.Vms() }).value(), MachineNow());
}

void
PlatformService::OnCall(const WebRequest& aIncoming, const Session& aSession)
{
  if (aIncoming.mPath == "/v1/switch" || aIncoming.mPath == "/v1/state") {
    OnControlCall(aIncoming, aSession);
    return;
  }
  if (mSwitch.Outage()) {
    ++mOutageCalls;
    aSession->Drop();
    return;
  }
  if (mSwitch.SlowMs() == 0) {
    Serve(aIncoming, aSession);
    return;
  }
  After(Time::FromMilliseconds(mSwitch.SlowMs()),
        [this, aIncoming, aSession] { Serve(aIncoming, aSession); });
}

void
PlatformService::After(Time aDelay, std::function<void()> aThen)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(
    mContext, std::chrono::milliseconds(aDelay.Milliseconds()));
  timer->async_wait([timer, then = std::move(aThen)](const boost::system::error_code& aError) {
    if (!aError) {
      then();
    }
  });
}

void
PlatformService::OnControlCall(const WebRequest& aIncoming, const Session& aSession)
{
  if (aIncoming.mPath == "/v1/switch") {
    if (ReadOrRefuse(aIncoming, aSession, mSwitch)) {
      if (mSwitch.Outage()) {
        DropWaiters();
      }
      AnswerWith(aSession, mSwitch);
    }
    return;
  }
  AnswerWith(aSession,
             PlatformCounters::Create({ .mFirstAvailable = mLog.mNextOffset - mLog.mRecords.size(),
                                        .mNextOffset = mLog.mNextOffset,
                                        .mAppends = mAppends,
                                        .mRefused = mRefused,
                                        .mLostAnswers = mLostAnswers,
                                        .mOutageCalls = mOutageCalls })
               .value());
}

void
PlatformService::Serve(const WebRequest& aIncoming, const Session& aSession)
{
  if (aIncoming.mPath == "/v1/log/append") {
    OnAppend(aIncoming, aSession);
  } else if (aIncoming.mPath == "/v1/log/read") {
    OnRead(aIncoming, aSession);
  } else if (aIncoming.mPath == "/v1/vms" && aIncoming.mMethod == "POST") {
    OnVmsChange(aIncoming, aSession);
  } else if (aIncoming.mPath == "/v1/vms") {
    AnswerWith(aSession, ListAt(mVms, MachineNow() - mSettings.ListLag()));
  } else {
    AnswerError(aSession, kNotFound, "no such path");
  }
}

void
PlatformService::OnAppend(const WebRequest& aIncoming, const Session& aSession)
{
  AppendBody body;
  if (!ReadOrRefuse(aIncoming, aSession, body)) {
    return;
  }
  const auto result = Append(mLog, body, mSettings, MachineNow());
  if (!result.ok()) {
    ++mRefused;
    AnswerError(aSession, kTooManyRequests, std::string(result.status().message()));
    return;
  }
  ++mAppends;
  const auto nth = mSwitch.LoseAppendAnswers();
  if (nth > 0 && mAppends % nth == 0) {
    ++mLostAnswers;
    aSession->Drop();
  } else {
    AnswerWith(aSession, *result);
  }
  WakeWaiters();
}

void
PlatformService::OnRead(const WebRequest& aIncoming, const Session& aSession)
{
  Expire(mLog, mSettings, MachineNow());
  const auto from = static_cast<std::uint64_t>(QueryNumber(aIncoming, "from", 0));
  const auto limit = static_cast<std::size_t>(QueryNumber(aIncoming, "limit", kDefaultReadLimit));
  const auto wait = QueryNumber(aIncoming, "wait_ms", 0);
  if (from < mLog.mNextOffset || wait <= 0) {
    AnswerRead(from, limit, aSession);
    return;
  }
  const auto number = ++mLastWaiter;
  auto& waiter =
    mWaiters
      .emplace(number,
               Waiter{ aSession,
                       from,
                       limit,
                       boost::asio::steady_timer(mContext, std::chrono::milliseconds(wait)) })
      .first->second;
  waiter.mTimer.async_wait([this, number](const boost::system::error_code& aError) {
    auto done = aError ? decltype(mWaiters)::node_type() : mWaiters.extract(number);
    if (!done.empty()) {
      AnswerRead(done.mapped().mFrom, done.mapped().mLimit, done.mapped().mSession);
    }
  });
}

void
PlatformService::AnswerRead(std::uint64_t aFrom, std::size_t aLimit, const Session& aSession)
{
  AnswerWith(aSession, Read(mLog, aFrom, aLimit));
}

void
PlatformService::OnVmsChange(const WebRequest& aIncoming, const Session& aSession)
{
  VmListChange change;
  if (ReadOrRefuse(aIncoming, aSession, change)) {
    Change(mVms, change, MachineNow());
    AnswerWith(aSession, mVms.mLists.rbegin()->second);
  }
}

void
PlatformService::WakeWaiters()
{
  auto waiters = std::exchange(mWaiters, {});
  for (auto& [number, waiter] : waiters) {
    waiter.mTimer.cancel();
    AnswerRead(waiter.mFrom, waiter.mLimit, waiter.mSession);
  }
}

void
PlatformService::DropWaiters()
{
  auto waiters = std::exchange(mWaiters, {});
  for (auto& [number, waiter] : waiters) {
    waiter.mTimer.cancel();
    waiter.mSession->Drop();
  }
}

} // namespace by::standins
