#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "absl/strings/str_cat.h"

#include "backend_server/BackendService.h"
#include "by_backend/by_backend.h"
#include "by_runtime/by_runtime.h"

using namespace by;
using standins::BackendService;

namespace {

/// Lets the generator allocate its pool before the leak check of the first test that draws.
[[maybe_unused]] const auto kFirstDraw = DrawIncarnation();

} // namespace

TEST_GROUP(BackendClient)
{
  boost::asio::io_context mContext;
  std::unique_ptr<BackendService> mService;
  std::unique_ptr<BackendClient> mClient;
  std::vector<LeaseAnswered> mLeases;
  std::vector<TaskAnswered> mAnswers;
  std::vector<TaskUnanswered> mUnanswered;
  int mLeaseFailures{ 0 };

  void setup()
  {
    const auto room =
      Resources::Create({ .mCpuMillis = 16000, .mMemoryMb = 32000, .mSlots = 8 }).value();
    const auto settings =
      BackendVmSettings::Create({ .mVm = VmId("vm-1"),
                                  .mListen = Endpoint::Create({ .mAddress = "127.0.0.1" }).value(),
                                  .mCapacity = room });
    mService = BackendService::Create(mContext, *settings).value();
    mClient =
      BackendClient::Create(mContext,
                            BackendClientSettings::Create({ .mStartConnections = 8 }).value(),
                            [this](const NodeEvent& aEvent) { Note(aEvent); })
        .value();
  }

  void Note(const NodeEvent& aEvent)
  {
    if (const auto* lease = std::get_if<LeaseAnswered>(&aEvent.Body())) {
      mLeases.push_back(*lease);
    } else if (const auto* answer = std::get_if<TaskAnswered>(&aEvent.Body())) {
      mAnswers.push_back(*answer);
    } else if (const auto* unanswered = std::get_if<TaskUnanswered>(&aEvent.Body())) {
      mUnanswered.push_back(*unanswered);
    } else {
      ++mLeaseFailures;
    }
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    while (!aCondition()) {
      mContext.run_one();
    }
  }

  void Lease(std::int64_t aTtl = 60000)
  {
    const auto request =
      LeaseRequest::Create({ .mEpoch = 1, .mTtl = Time::FromMilliseconds(aTtl) }).value();
    mClient->Lease(
      SendLease::Create(
        { .mVm = VmId("vm-1"), .mEndpoint = mService->Settings().Listen(), .mRequest = request })
        .value());
  }

  void Start(const std::string& aTask, const std::string& aPayload)
  {
    const auto start = TaskStart::Create({ .mTask = TaskId(aTask),
                                           .mGeneration = 1,
                                           .mEpoch = 1,
                                           .mNotAfter = MachineNow() + Time::FromSeconds(600),
                                           .mIdempotent = true,
                                           .mPayload = aPayload })
                         .value();
    mClient->Start(SendStart::Create({ .mVm = VmId("vm-1"),
                                       .mEndpoint = mService->Settings().Listen(),
                                       .mStart = start,
                                       .mWaitForEnd = true })
                     .value());
  }
};

TEST(BackendClient, EachStartGetsItsOwnAnswerWhateverTheOrder)
{
  // The test ends the tasks itself, the last one first: ends that follow from run times come in
  // another order where the process waits for a processor meanwhile.
  Lease();
  RunUntil([this] { return !mLeases.empty(); });
  for (int n = 0; n < 8; ++n) {
    Start(absl::StrCat("t", n), "run_ms=30000;work");
  }
  RunUntil([this] { return mService->Counters().Running() == 8; });
  for (int n = 7; n >= 0; --n) {
    mService->Finish(TaskId(absl::StrCat("t", n)));
    RunUntil([&] { return mAnswers.size() == 8U - static_cast<std::size_t>(n); });
    const auto& result = mAnswers.back().Result();
    STRCMP_EQUAL(absl::StrCat("t", n).c_str(), result.Task().Text().c_str());
    CHECK(result.State() == TaskState::Succeeded);
    STRCMP_CONTAINS(absl::StrCat(result.Task().Text(), ":").c_str(), result.Payload().c_str());
  }
}

TEST(BackendClient, LeaseDoesNotWaitBehindRunningTasks)
{
  Lease();
  RunUntil([this] { return !mLeases.empty(); });
  for (int n = 0; n < 8; ++n) {
    Start(absl::StrCat("t", n), "run_ms=30000;");
  }
  Lease();
  RunUntil([this] { return mLeases.size() == 2; });
  CHECK(mAnswers.empty());
}

TEST(BackendClient, StartAtADeadServerDidCertainlyNotStart)
{
  CHECK(mService->Turn(BackendSwitch::Create({ .mDead = true }).value()).ok());
  Start("t1", "x");
  Lease();
  RunUntil([this] { return !mUnanswered.empty() && mLeaseFailures == 1; });
  CHECK_FALSE(mUnanswered[0].MayHaveStarted());
}

TEST(BackendClient, ServerThatDiesWithATaskMayHaveStartedIt)
{
  Lease();
  Start("t0", "");
  RunUntil([this] { return !mLeases.empty() && mAnswers.size() == 1; });
  Start("t1", "run_ms=30000;");
  RunUntil([this] { return mService->Counters().Running() == 1; });
  CHECK(mService->Turn(BackendSwitch::Create({ .mDead = true }).value()).ok());
  RunUntil([this] { return !mUnanswered.empty(); });
  CHECK(mUnanswered[0].MayHaveStarted());
}

TEST(BackendClient, StartThatReachesAPausedServerAfterItsLeaseLapsedIsFenced)
{
  Lease(50);
  RunUntil([this] { return !mLeases.empty(); });
  CHECK(mService->Turn(BackendSwitch::Create({ .mPaused = true }).value()).ok());
  Start("t1", "x");
  bool lapsed = false;
  boost::asio::steady_timer timer(mContext, std::chrono::milliseconds(60));
  timer.async_wait([&](const boost::system::error_code&) { lapsed = true; });
  RunUntil([&] { return lapsed; });
  CHECK(mService->Turn(BackendSwitch()).ok());
  RunUntil([this] { return !mAnswers.empty(); });
  CHECK(mAnswers[0].Result().State() == TaskState::NotStarted);
  LONGS_EQUAL(1, mService->Counters().Fenced());
}
