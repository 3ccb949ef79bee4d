#include <atomic>
#include <csignal>
#include <future>

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
