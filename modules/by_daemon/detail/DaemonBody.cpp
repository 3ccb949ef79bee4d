#include "by_daemon/detail/DaemonBody.h"

#include <chrono>
#include <csignal>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "by_runtime/by_runtime.h"
#include "by_schema/BackendClientSettings.h"
#include "by_schema/TeamTokens.h"

namespace by::detail {

namespace {

/// Callers have at most this long to read the last answers and close.
constexpr std::chrono::milliseconds kFinishLimit{ 2000 };
/// Frames to peers and records that are on their way have this long to leave.
constexpr std::chrono::milliseconds kFlushTime{ 300 };
constexpr Time kGaugeInterval = Time::FromMilliseconds(1000);

OperatorCall
DrainCall()
{
  return OperatorCall::Create({ .mBody = DrainNode::Create({ .mOperatorName = "signal" }).value() })
    .value();
}

std::shared_ptr<const TeamTokens>
TokensOf(const ConfigDocument& aDocument)
{
  std::vector<TeamToken> tokens;
  for (const auto& team : aDocument.Teams()) {
    if (!team.Token().empty()) {
      tokens.push_back(TeamToken::Create({ .mTeam = team.Team(), .mToken = team.Token() }).value());
    }
  }
  return std::make_shared<const TeamTokens>(
    TeamTokens::Create({ .mTokens = std::move(tokens) }).value());
}

LogPart
PartOf(NodePart aPart)
{
  switch (aPart) {
    case NodePart::Node:
      return LogPart::Node;
    case NodePart::Ownership:
      return LogPart::Ownership;
    case NodePart::Membership:
      return LogPart::Wire;
    case NodePart::Config:
      return LogPart::Config;
    case NodePart::Intents:
      return LogPart::Intents;
    case NodePart::Requests:
      return LogPart::Requests;
    case NodePart::Log:
      return LogPart::Platform;
  }
  return LogPart::Node;
}

} // namespace

DaemonBody::DaemonBody(const NodeSettings& aSettings, Logger aLogger)
  : mSettings(aSettings)
  , mState(MakeNodeState(aSettings, DrawIncarnation()))
  , mControl(1)
  , mTickTimer(mControl)
  , mExitTimer(mControl)
  , mSignals(mControl)
  , mLogger(std::move(aLogger))
  , mMetrics(Metrics::Create())
  , mTraffic(static_cast<std::size_t>(aSettings.TrafficThreads()))
{
}

absl::Status
DaemonBody::Open()
{
  const auto deliver = [this](NodeEvent aEvent) { Deliver(std::move(aEvent)); };
  const auto countIn = [this](std::size_t aBytes) {
    mMetrics->Add(CounterName::ControlReceivedBytes, static_cast<std::int64_t>(aBytes));
  };
  const auto countOut = [this](std::size_t aBytes) {
    mMetrics->Add(CounterName::ControlSentBytes, static_cast<std::int64_t>(aBytes));
  };
  auto peers = PeerLinks::Create(
    mTraffic.At(0), mSettings, { .mDeliver = deliver, .mBytesIn = countIn, .mBytesOut = countOut });
  if (!peers.ok()) {
    return peers.status();
  }
  mPeers = *std::move(peers);
  auto platform = PlatformClient::Create(mTraffic.At(0), mSettings.Platform(), deliver);
  if (!platform.ok()) {
    return platform.status();
  }
  mPlatform = *std::move(platform);
  auto backends = BackendClient::Create(mTraffic.At(1), BackendClientSettings(), deliver);
  if (!backends.ok()) {
    return backends.status();
  }
  mBackends = *std::move(backends);
  const HttpHooks hooks{ .mDeliver = deliver,
                         .mDrawId = DrawId,
                         .mMetricsText = [this] { return mMetrics->MetricsText(); },
                         .mRefused =
                           [this](Refusal aReason) {
                             mMetrics->AddRefusedConnection(ToString(aReason));
                             boost::asio::post(mControl, [this, aReason] { LogRefusal(aReason); });
                           } };
  auto http = HttpServer::Create(mTraffic.All(), mSettings.Http(), hooks);
  if (!http.ok()) {
    return http.status();
  }
  mHttp = *std::move(http);
  return absl::OkStatus();
}

void
DaemonBody::LogRefusal(Refusal aReason)
{
  const auto line = ReportRefusal(mRefusals, aReason, MachineNow());
  if (line) {
    mLogger.Warn(LogPart::Http, absl::StrCat("Callers were refused: ", line->Detail(), "."));
  }
}

bool
DaemonBody::Run()
{
  WatchSignals();
  boost::asio::post(mTraffic.At(0), [this] {
    mPlatform->ReadFrom(0);
    mPlatform->StartList();
  });
  mTraffic.Start([this](const std::string& aError) {
    mLogger.Error(LogPart::Node, absl::StrCat("A handler failed: ", aError, "."));
  });
  Tick();
  mControl.run();
  mHttp->Stop();
  mPeers->Stop();
  mTraffic.Stop();
  return mClean;
}

void
DaemonBody::Deliver(NodeEvent aEvent)
{
  boost::asio::post(mControl, [this, event = std::move(aEvent)] { Take(event); });
}

void
DaemonBody::Take(const NodeEvent& aEvent)
{
  CountEvent(*mMetrics, aEvent);
  auto result = Step(std::move(mState), aEvent, MachineNow());
  mState = std::move(result.mState);
  for (const auto& effect : result.mEffects) {
    CountEffect(*mMetrics, effect);
    Perform(effect);
  }
}

void
DaemonBody::Perform(const NodeEffect& aEffect)
{
  std::visit([this](const auto& aBody) { Perform(aBody); }, aEffect.Body());
}

void
DaemonBody::Perform(const AnswerCaller& aEffect)
{
  mHttp->Answer(aEffect);
}

void
DaemonBody::Perform(const SendFrame& aEffect)
{
  mPeers->Send(aEffect);
}

void
DaemonBody::Perform(const SendHeartbeat& aEffect)
{
  mPeers->Send(aEffect);
}

void
DaemonBody::Perform(const AppendRecords& aEffect)
{
  boost::asio::post(mTraffic.At(0), [this, aEffect] { mPlatform->Append(aEffect); });
}

void
DaemonBody::Perform(const SendLease& aEffect)
{
  boost::asio::post(mTraffic.At(1), [this, aEffect] { mBackends->Lease(aEffect); });
}

void
DaemonBody::Perform(const SendStart& aEffect)
{
  boost::asio::post(mTraffic.At(1), [this, aEffect] { mBackends->Start(aEffect); });
}

void
DaemonBody::Perform(const SendCommand& aEffect)
{
  boost::asio::post(mTraffic.At(1), [this, aEffect] { mBackends->Command(aEffect); });
}

void
DaemonBody::Perform(const ReplyOperator& aEffect)
{
  mHttp->Reply(aEffect);
}

void
DaemonBody::Perform(const Exit& aEffect)
{
  mClean = aEffect.Clean();
  mTickTimer.cancel();
  mSignals.cancel();
  mExitTimer.expires_after(kFinishLimit);
  mExitTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mControl.stop();
    }
  });
  // Calls that are read from now on are refused by this thread, so it runs until the last
  // connection is closed.
  mHttp->Finish([this] { boost::asio::post(mControl, [this] { EndAfterFlush(); }); });
}

void
DaemonBody::EndAfterFlush()
{
  mExitTimer.expires_after(kFlushTime);
  mExitTimer.async_wait([this](boost::system::error_code) { mControl.stop(); });
}

void
DaemonBody::Perform(const ReadLog& aEffect)
{
  boost::asio::post(mTraffic.At(0),
                    [this, offset = aEffect.FromOffset()] { mPlatform->ReadFrom(offset); });
}

void
DaemonBody::Perform(const SetReady& aEffect)
{
  mHttp->SetReady(aEffect.Ready());
  if (aEffect.Stopping()) {
    mHttp->StopAccepting();
  }
}

void
DaemonBody::Perform(const ConfigInForce& aEffect)
{
  mHttp->SetTokens(TokensOf(aEffect.Config().Document()));
}

void
DaemonBody::Perform(const Note& aEffect)
{
  mLogger.Info(PartOf(aEffect.Part()), aEffect.Text());
}

void
DaemonBody::Tick()
{
  Take(NodeEvent::Create({ .mBody = by::Tick::Create({ .mCount = ++mTicks }).value() }).value());
  UpdateGauges();
  const auto interval = mSettings.Platform().BatchInterval().Milliseconds();
  mTickTimer.expires_after(std::chrono::milliseconds(interval));
  mTickTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
DaemonBody::UpdateGauges()
{
  const auto now = MachineNow();
  if (now >= mNextGauges) {
    mNextGauges = now + kGaugeInterval;
    SetGauges(*mMetrics, DumpState(mState, now));
  }
}

void
DaemonBody::WatchSignals()
{
  mSignals.add(SIGTERM);
  mSignals.add(SIGINT);
  mSignals.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      Take(NodeEvent::Create({ .mBody = DrainCall() }).value());
      WatchSignals();
    }
  });
}

} // namespace by::detail
