#include "by_entryd/detail/EntryDaemonBody.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iterator>
#include <unistd.h>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "by_entryd/detail/EventKind.h"
#include "by_entryd/detail/LineText.h"
#include "by_runtime/BootClock.h"
#include "by_runtime/GuardedRun.h"
#include "by_runtime/ThreadClock.h"

namespace by::detail {

namespace {

/// Log lines that wait for their reader at most. [bytes]
constexpr std::size_t kLogLimit = std::size_t{ 1024 } * 1024;
/// Events that are handled in one step at most.
constexpr std::size_t kBatchLimit = 64;
/// One of so many batches is handled event by event to sample their processor time.
constexpr std::uint64_t kBatchesPerSample = 32;
/// Messages to other nodes and to the store have this long to leave after the last decision.
constexpr Time kFlushTime = Time::FromMilliseconds(200);
/// The process ends so long before its grace time does.
constexpr Time kExitMargin = Time::FromMilliseconds(300);
/// Time between two looks at the teams of the configuration for metrics.
constexpr Time kSampleInterval = Time::FromMilliseconds(1000);

} // namespace

EntryDaemonBody::EntryDaemonBody(const EntrySettings& aSettings, Time aGrace, ReadSettings aRead)
  : mState(MakeEntryState(aSettings))
  , mGrace(aGrace)
  , mRead(std::move(aRead))
  , mControl(1)
  , mTraffic(1)
  , mTrafficWork(boost::asio::make_work_guard(mTraffic))
  , mTimer(mControl)
  , mExitTimer(mControl)
  , mSignals(mControl, SIGTERM, SIGINT, SIGHUP)
  , mLog(STDOUT_FILENO, kLogLimit)
{
}

EntryDaemonBody::~EntryDaemonBody()
{
  mTraffic.stop();
  if (mTrafficThread.joinable()) {
    mTrafficThread.join();
  }
}

absl::Status
EntryDaemonBody::Open(const OpenPorts& aOpen)
{
  const auto count = [this](LinkDirection aDirection, std::size_t aMessages, std::size_t aBytes) {
    mMetrics.CountLink(aDirection, aMessages, aBytes);
  };
  mLink = LinkClient::Create(
    mTraffic,
    [this](const Endpoint& aPeer, std::uint64_t aLink, bool aUp, bool aRefused) {
      Deliver(EventOf(
        LinkChanged::Create({ .mPeer = aPeer, .mUp = aUp, .mRefused = aRefused, .mLink = aLink })
          .value()));
    },
    [this](std::uint64_t aLink, std::vector<LinkMessage> aMessages) {
      std::vector<EntryEvent> events;
      events.reserve(aMessages.size());
      for (auto& message : aMessages) {
        events.push_back(
          EventOf(FromOwner::Create({ .mMessage = std::move(message), .mLink = aLink }).value()));
      }
      Deliver(events);
    },
    count);
  auto members = LinkServer::Create(
    mTraffic,
    mState.mSettings.Link(),
    [this](const std::string& aNode, std::uint64_t aLink, bool aUp) {
      Deliver(
        EventOf(MemberChanged::Create({ .mNode = aNode, .mUp = aUp, .mLink = aLink }).value()));
    },
    [this](const std::string& aNode, std::uint64_t aLink, std::vector<LinkMessage> aMessages) {
      const auto now = BootNow();
      std::vector<EntryEvent> events;
      events.reserve(aMessages.size());
      for (auto& message : aMessages) {
        events.push_back(EventOf(
          FromMember::Create(
            { .mNode = aNode, .mMessage = std::move(message), .mReceived = now, .mLink = aLink })
            .value()));
      }
      Deliver(events);
    },
    count);
  if (!members.ok()) {
    return members.status();
  }
  mMembers = *std::move(members);
  EntryHooks hooks{ .mDeliver = [this](EntryEvent aEvent) { Deliver(std::move(aEvent)); },
                    .mLog =
                      [this](const LogLine& aLine) {
                        boost::asio::post(mControl, [this, aLine] { Write(aLine); });
                      },
                    .mCountRefusal =
                      [this](const char* aReason) { mMetrics.CountRefusal(aReason); },
                    .mMetricsText = [this] { return mMetrics.Text(); } };
  auto ports = aOpen(mTraffic, std::move(hooks));
  if (!ports.ok()) {
    return ports.status();
  }
  mPorts = *std::move(ports);
  return absl::OkStatus();
}

bool
EntryDaemonBody::Run(std::string_view aVersion)
{
  Write(LogLine::Create(
          { .mEvent = "node.started",
            .mSubject = mState.mSettings.Node(),
            .mDetail = absl::StrCat(
              "incarnation=", mState.mSettings.Incarnation(), " version=", std::string(aVersion)) })
          .value());
  WatchSignals();
  boost::asio::post(mTraffic, [this] { mPorts.mStart(); });
  mTrafficThread = std::thread([this] {
    RunGuarded(mTraffic, [this](const std::string& aError) { ReportError("traffic", aError); });
  });
  Tick();
  RunGuarded(mControl, [this](const std::string& aError) { ReportError("control", aError); });
  mTraffic.stop();
  mTrafficThread.join();
  mPorts.mStop();
  mLink->Close();
  mMembers->Close();
  // Lines about calls that ended with the sockets.
  mControl.restart();
  mControl.poll();
  mLog.Flush();
  return mClean;
}

void
EntryDaemonBody::ReportError(const char* aThread, const std::string& aError)
{
  boost::asio::post(mControl, [this, aThread, aError] {
    Write(LogLine::Create({ .mEvent = "handler.failed",
                            .mSubject = aThread,
                            .mDetail = absl::StrCat("error=", aError) })
            .value());
  });
}

void
EntryDaemonBody::Deliver(EntryEvent aEvent)
{
  Deliver(std::span(&aEvent, 1));
}

void
EntryDaemonBody::Deliver(std::span<EntryEvent> aEvents)
{
  if (mEvents.Push(aEvents, BootNow())) {
    boost::asio::post(mControl, [this] { HandleEvents(); });
  }
}

void
EntryDaemonBody::HandleEvents()
{
  const auto now = BootNow();
  auto batch = mEvents.Take(kBatchLimit, now);
  mQueueDelay = std::max(mQueueDelay, batch.mLongestWait);
  for (auto& event : batch.mEvents) {
    if (std::holds_alternative<ClockTick>(event.Body())) {
      event = NextTickEvent();
    }
  }
  mMetrics.ObserveQueueDelay(batch.mLongestWait);
  for (const auto& event : batch.mEvents) {
    mMetrics.CountHandled(EventKind(event));
  }
  ReportDropped(batch.mDropped);
  if (const auto line = ReportDelay(mDelayReport, mState.mSettings.Node(), batch, now)) {
    Write(*line);
  }
  const bool isSampled = mBatches++ % kBatchesPerSample == 0;
  Perform(isSampled ? StepSampled(batch.mEvents, now) : StepEntry(mState, batch.mEvents, now));
  ApplyConnectionLimits();
  ObserveConfig(now);
  ArmTimer();
  if (batch.mLeft > 0) {
    // Timers and signals get their turn between two batches.
    boost::asio::post(mControl, [this] { HandleEvents(); });
  }
}

void
EntryDaemonBody::ObserveConfig(Time aNow)
{
  const auto version = mState.mConfig ? mState.mConfig->Version() : 0;
  if (aNow < mNextSample && version == mSampledVersion) {
    return;
  }
  mNextSample = aNow + kSampleInterval;
  mSampledVersion = version;
  mMetrics.Observe(SampleConfig(mState, aNow));
}

Effects
EntryDaemonBody::StepSampled(const std::vector<EntryEvent>& aEvents, Time aNow)
{
  Effects effects;
  auto before = ThreadProcessorTime();
  for (const auto& event : aEvents) {
    auto step = StepEntry(mState, event, aNow);
    std::move(step.begin(), step.end(), std::back_inserter(effects));
    const auto after = ThreadProcessorTime();
    mMetrics.ObserveProcessorTime(EventKind(event), after - before);
    before = after;
  }
  return effects;
}

void
EntryDaemonBody::ReportDropped(const std::vector<EntryEvent>& aEvents)
{
  for (const auto& event : aEvents) {
    mMetrics.CountDropped(EventKind(event));
    const auto* message = std::get_if<FromMember>(&event.Body());
    const auto* request =
      message == nullptr ? nullptr : std::get_if<CellRequest>(&message->Message().Body());
    if (request != nullptr) {
      Write(LogLine::Create({ .mEvent = "call.link_lost",
                              .mSubject = request->Job(),
                              .mDetail = absl::StrCat("from=", message->Node()) })
              .value());
    }
  }
}

EntryEvent
EntryDaemonBody::NextTickEvent()
{
  mIsTickQueued = false;
  return EventOf(
    ClockTick::Create({ .mNumber = ++mTicks, .mQueueDelay = std::exchange(mQueueDelay, Time()) })
      .value());
}

void
EntryDaemonBody::Perform(Effects aEffects)
{
  Effects forTraffic;
  bool isLast = false;
  for (auto& effect : aEffects) {
    if (const auto* line = std::get_if<LogLine>(&effect.Body())) {
      Write(*line);
    } else if (const auto* exit = std::get_if<ExitEntry>(&effect.Body())) {
      mClean = exit->Clean();
      isLast = true;
    } else {
      forTraffic.push_back(std::move(effect));
    }
  }
  if (!forTraffic.empty()) {
    boost::asio::post(mTraffic, [this, effects = std::move(forTraffic)] {
      for (const auto& effect : effects) {
        try {
          PerformOnTraffic(effect);
        } catch (const std::exception& error) {
          ReportError("traffic", error.what());
        }
      }
    });
  }
  if (isLast) {
    FinishCalls();
  }
}

void
EntryDaemonBody::ApplyConnectionLimits()
{
  if (!mState.mConfig || mState.mConfig->ConnectionLimits() == mConnectionLimits) {
    return;
  }
  mConnectionLimits = mState.mConfig->ConnectionLimits();
  boost::asio::post(mTraffic, [this, limits = mConnectionLimits] { mPorts.mSetLimits(limits); });
}

void
EntryDaemonBody::FinishCalls()
{
  mTimer.cancel();
  mLog.Flush();
  const auto now = BootNow();
  const auto limit = std::max(kFlushTime, mStopRequestedAt + mGrace - kExitMargin - now);
  mExitTimer.expires_after(std::chrono::milliseconds(limit.Milliseconds()));
  mExitTimer.async_wait([this, now](boost::system::error_code aError) {
    if (!aError) {
      ReportFinish(now, false);
    }
  });
  // Calls that are read from now on are answered by this thread, so it runs until the last
  // connection is closed.
  boost::asio::post(mTraffic, [this, now] {
    mPorts.mFinish(
      [this, now] { boost::asio::post(mControl, [this, now] { FinishAfterFlush(now); }); });
  });
}

void
EntryDaemonBody::FinishAfterFlush(Time aBegin)
{
  const auto left = std::max(Time(), aBegin + kFlushTime - BootNow());
  mExitTimer.expires_after(std::chrono::milliseconds(left.Milliseconds()));
  mExitTimer.async_wait([this, aBegin](boost::system::error_code aError) {
    if (!aError) {
      ReportFinish(aBegin, true);
    }
  });
}

void
EntryDaemonBody::ReportFinish(Time aBegin, bool aAllClosed)
{
  Write(LogLine::Create({ .mEvent = "node.finished",
                          .mSubject = mState.mSettings.Node(),
                          .mDetail = absl::StrCat("took_ms=",
                                                  (BootNow() - aBegin).Milliseconds(),
                                                  " connections=",
                                                  aAllClosed ? "all closed" : "left open") })
          .value());
  mControl.stop();
}

void
EntryDaemonBody::PerformOnTraffic(const EntryEffect& aEffect)
{
  const auto& body = aEffect.Body();
  if (const auto* connect = std::get_if<ConnectToOwner>(&body)) {
    mLink->Connect(connect->Peer());
  } else if (const auto* toOwner = std::get_if<SendToOwner>(&body)) {
    mLink->Send(toOwner->Link(), toOwner->Message());
  } else if (const auto* toMember = std::get_if<SendToMember>(&body)) {
    if (!mMembers->Send(toMember->Node(), toMember->Link(), toMember->Message())) {
      ReportDroppedReply(*toMember);
    }
  } else {
    mPorts.mPerform(aEffect);
  }
}

void
EntryDaemonBody::ReportDroppedReply(const SendToMember& aEffect)
{
  const auto* reply = std::get_if<JobReply>(&aEffect.Message().Body());
  if (reply == nullptr) {
    return;
  }
  auto line = LogLine::Create({ .mEvent = "reply.link_lost",
                                .mSubject = aEffect.Node(),
                                .mDetail = absl::StrCat("link=",
                                                        aEffect.Link(),
                                                        " call=",
                                                        reply->Call(),
                                                        " outcome=",
                                                        std::string(ToString(reply->Outcome()))) })
                .value();
  boost::asio::post(mControl, [this, line = std::move(line)] { Write(line); });
}

void
EntryDaemonBody::Write(const LogLine& aLine)
{
  mMetrics.Count(aLine);
  mLine.clear();
  AppendLine(mLine, BootNow(), mState.mSettings.Node(), aLine);
  mLog.Write(mLine);
}

void
EntryDaemonBody::ArmTimer()
{
  if (mState.mExited || mIsTickQueued) {
    return;
  }
  const auto now = BootNow();
  const auto due = NextTick(mState, now);
  if (due >= mTimerDue) {
    return;
  }
  mTimerDue = due;
  mTimer.expires_after(std::chrono::milliseconds((due - now).Milliseconds()));
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
EntryDaemonBody::Tick()
{
  mTimerDue = Time::Never();
  mLog.Flush();
  // Messages that arrived before the tick are handled before it, so that no timer expires on what
  // they say.
  mIsTickQueued = true;
  Deliver(EventOf(ClockTick()));
}

void
EntryDaemonBody::WatchSignals()
{
  mSignals.async_wait([this](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    // The next signal is handled also if the handling of this one fails.
    WatchSignals();
    if (aSignal == SIGHUP) {
      Reload();
    } else {
      if (mStopRequestedAt == Time::Never()) {
        mStopRequestedAt = BootNow();
      }
      Deliver(EventOf(StopRequested::Create({ .mGrace = mGrace }).value()));
    }
  });
}

void
EntryDaemonBody::Reload()
{
  const auto read = mRead();
  SettingsRead::Fields fields{ .mSettings = mState.mSettings };
  if (read.ok()) {
    mGrace = read->mGrace;
    fields.mSettings = read->mEntry;
    fields.mNeedsRestart = read->mNeedsRestart;
  } else {
    fields.mError = std::string(read.status().message());
  }
  Deliver(EventOf(SettingsRead::Create(std::move(fields)).value()));
}

} // namespace by::detail
