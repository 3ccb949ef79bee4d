#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <memory>
#include <new>
#include <stdexcept>
#include <utility>
#include <variant>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

#include "by_entryd/by_entryd.h"

using namespace by;

namespace {

/// A front end that does nothing.
EntryPorts
NoPorts()
{
  return EntryPorts{ .mPerform = [](const EntryEffect&) {},
                     .mStart = [] {},
                     .mSetLimits = [](const ConnectionLimits&) {},
                     .mFinish = [](const std::function<void()>& aFinished) { aFinished(); },
                     .mStop = [] {} };
}

EntrySettings
Settings()
{
  EntrySettings::Fields fields;
  fields.mNode = "n1";
  fields.mIncarnation = 1;
  fields.mLink = Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value();
  fields.mDrainTime = Time::FromMilliseconds(10);
  return EntrySettings::Create(std::move(fields)).value();
}

} // namespace

TEST_GROUP(EntryDaemon){};

/// An unexpected error in the handler of one message ended the whole process.
TEST(EntryDaemon, ErrorOfAHandlerDoesNotEndTheProcess)
{
  std::promise<void> isRead;
  auto read = [&isRead]() -> absl::StatusOr<ReloadedSettings> {
    isRead.set_value();
    throw std::runtime_error("reload");
  };
  std::atomic<int> performed{ 0 };
  auto open = [&](boost::asio::io_context& aTraffic,
                  const EntryHooks&) -> absl::StatusOr<EntryPorts> {
    auto ports = NoPorts();
    ports.mStart = [&aTraffic] {
      boost::asio::post(aTraffic, [] { throw std::length_error("read"); });
      throw std::runtime_error("start");
    };
    ports.mPerform = [&](const EntryEffect&) {
      ++performed;
      throw std::bad_alloc();
    };
    return ports;
  };
  auto daemon = EntryDaemon::Create(Settings(), Time::FromMilliseconds(100), open, read);
  CHECK(daemon.ok());
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run("test"); });
  CHECK_EQUAL(0, std::raise(SIGHUP));
  isRead.get_future().wait();
  CHECK_EQUAL(0, std::raise(SIGTERM));
  CHECK(ended.get());
  CHECK(performed > 0);
}

TEST(EntryDaemon, HangupReadsTheSettingsAgainAndTheProcessGoesOn)
{
  std::promise<void> isRead;
  auto read = [&isRead,
               asked =
                 std::make_shared<std::atomic<bool>>(false)]() -> absl::StatusOr<ReloadedSettings> {
    if (!asked->exchange(true)) {
      isRead.set_value();
    }
    return ReloadedSettings{ .mEntry = Settings(), .mGrace = Time::FromMilliseconds(100) };
  };
  auto daemon = EntryDaemon::Create(
    Settings(),
    Time::FromMilliseconds(100),
    [](boost::asio::io_context&, const EntryHooks&) -> absl::StatusOr<EntryPorts> {
      return NoPorts();
    },
    read);
  CHECK(daemon.ok());
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run("test"); });
  CHECK_EQUAL(0, std::raise(SIGHUP));
  isRead.get_future().wait();
  CHECK_EQUAL(0, std::raise(SIGTERM));
  CHECK(ended.get());
}

/// A process ended 0.2 s after its last decision, while calls that it had read were unanswered.
TEST(EntryDaemon, StopAnswersCallsThatAreReadAfterTheLastDecision)
{
  std::promise<unsigned> answered;
  auto open = [&](boost::asio::io_context& aTraffic,
                  EntryHooks aHooks) -> absl::StatusOr<EntryPorts> {
    auto ports = NoPorts();
    auto finished = std::make_shared<std::function<void()>>();
    ports.mFinish = [&aTraffic, aHooks, finished](std::function<void()> aFinished) {
      *finished = std::move(aFinished);
      // The call is read so late that a fixed wait would be over.
      auto timer = std::make_shared<boost::asio::steady_timer>(aTraffic);
      timer->expires_after(std::chrono::milliseconds(400));
      timer->async_wait([timer, aHooks](boost::system::error_code) {
        aHooks.mDeliver(EventOf(
          JobCall::Create({ .mCall = 7, .mKind = JobCallKind::Show, .mPath = "/batch/" }).value()));
      });
    };
    ports.mPerform = [&answered, finished](const EntryEffect& aEffect) {
      if (const auto* reply = std::get_if<ReplyToCaller>(&aEffect.Body())) {
        answered.set_value(static_cast<unsigned>(reply->Reply().Call()));
        (*finished)();
      }
    };
    return ports;
  };
  auto daemon = EntryDaemon::Create(
    Settings(), Time::FromMilliseconds(20000), open, []() -> absl::StatusOr<ReloadedSettings> {
      return absl::UnavailableError("not asked");
    });
  CHECK(daemon.ok());
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run("test"); });
  CHECK_EQUAL(0, std::raise(SIGTERM));
  CHECK(ended.get());
  auto call = answered.get_future();
  CHECK(call.wait_for(std::chrono::seconds(0)) == std::future_status::ready);
  LONGS_EQUAL(7, call.get());
}

/// The limits of a configuration did not reach the connections, which have a thread of their own.
TEST(EntryDaemon, ConnectionLimitsOfAConfigurationReachTheTrafficThread)
{
  const auto limits = ConnectionLimits::Create({ .mHeaderBytes = 1000,
                                                 .mBodyBytes = 2000,
                                                 .mHeaderTimeout = Time::FromMilliseconds(300),
                                                 .mIdleTimeout = Time::FromMilliseconds(400) })
                        .value();
  std::promise<ConnectionLimits> applied;
  auto open = [&](boost::asio::io_context&, EntryHooks aHooks) -> absl::StatusOr<EntryPorts> {
    auto ports = NoPorts();
    ports.mStart = [limits, hooks = std::move(aHooks)] {
      hooks.mDeliver(
        EventOf(ClusterConfig::Create({ .mVersion = 1, .mConnectionLimits = limits }).value()));
    };
    ports.mSetLimits = [&](const ConnectionLimits& aLimits) { applied.set_value(aLimits); };
    return ports;
  };
  auto read = []() -> absl::StatusOr<ReloadedSettings> { return absl::UnavailableError("unused"); };
  auto daemon = EntryDaemon::Create(Settings(), Time::FromMilliseconds(100), open, read);
  CHECK(daemon.ok());
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run("test"); });
  CHECK(applied.get_future().get() == limits);
  CHECK_EQUAL(0, std::raise(SIGTERM));
  ended.get();
}
