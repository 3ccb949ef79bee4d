#include <atomic>
#include <csignal>
#include <future>
#include <new>
#include <stdexcept>

#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include "by_entryd/by_entryd.h"

using namespace by;

namespace {

/// A front end that does nothing.
EntryPorts
NoPorts()
{
  return EntryPorts{ .mPerform = [](const EntryEffect&) {}, .mStart = [] {}, .mStop = [] {} };
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
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run(); });
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
  auto ended = std::async(std::launch::async, [&] { return (*daemon)->Run(); });
  CHECK_EQUAL(0, std::raise(SIGHUP));
  isRead.get_future().wait();
  CHECK_EQUAL(0, std::raise(SIGTERM));
  CHECK(ended.get());
}
