#include "LoadRun.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "by_json/by_json.h"
#include "by_json/generated/requests_json.h"
#include "by_runtime/by_runtime.h"

namespace by::load {

namespace {

constexpr int kMaxCalls = 4;
constexpr auto kRetryDelay = Time::FromMilliseconds(200);
constexpr std::int64_t kConnectionsPerNode = 10000;

} // namespace

LoadRun::LoadRun(const LoadSettings& aSettings, std::string aRun)
  : mSettings(aSettings)
  , mRun(std::move(aRun))
  , mContext(1)
{
  const auto settings = HttpClientSettings::Create({ .mMaxConnections = kConnectionsPerNode });
  mClient = HttpClient::Create(mContext, settings.value()).value();
}

Tally
LoadRun::Run()
{
  mStart = MachineNow();
  for (std::int64_t n = 0; n < mSettings.Callers(); ++n) {
    NextOfCaller();
  }
  mContext.run();
  return mTally;
}

bool
LoadRun::IsOver() const
{
  if (mSettings.Duration() > Time()) {
    return MachineNow() - mStart >= mSettings.Duration();
  }
  return mNext >= static_cast<std::uint64_t>(mSettings.Requests());
}

void
LoadRun::NextOfCaller()
{
  if (IsOver()) {
    return;
  }
  const auto number = mNext++;
  Submission first{ .mRequest =
                      MakeRequest(mSettings.Seed(), mRun, number, mSettings.Teams().size()),
                    .mNode = number % mSettings.Nodes().size(),
                    .mStartedAt = MachineNow() };
  if (first.mRequest.mHasTwin) {
    auto twin = std::make_shared<Submission>(first);
    twin->mIsTwin = true;
    ++twin->mNode;
    Call(twin);
  }
  Call(std::make_shared<Submission>(std::move(first)));
}

void
LoadRun::Call(const std::shared_ptr<Submission>& aSubmission)
{
  ++aSubmission->mCalls;
  const auto& nodes = mSettings.Nodes();
  const auto& team = mSettings.Teams()[aSubmission->mRequest.mTeam];
  auto call = HttpCall::Create({ .mEndpoint = nodes[aSubmission->mNode % nodes.size()],
                                 .mMethod = HttpMethod::Post,
                                 .mTarget = "/v1/requests",
                                 .mBody = WriteJsonText(aSubmission->mRequest.mBody),
                                 .mBearerToken = team.Token(),
                                 .mTimeout = mSettings.CallTimeout() });
  auto answered = [this, aSubmission](std::uint64_t, const HttpResult& aResult) {
    OnResult(aSubmission, aResult);
  };
  mClient->Send(*std::move(call), std::move(answered));
}

void
LoadRun::OnResult(const std::shared_ptr<Submission>& aSubmission, const HttpResult& aResult)
{
  auto& submission = *aSubmission;
  const bool isBroken = aResult.Outcome() != CallOutcome::Completed;
  const bool wasLost = submission.mCallLost;
  submission.mCallLost = wasLost || aResult.Outcome() == CallOutcome::Lost;
  if (isBroken && submission.mCalls < kMaxCalls) {
    ++submission.mNode;
    ++mTally.mSentAgain;
    After(kRetryDelay, [this, aSubmission] { Call(aSubmission); });
    return;
  }
  const auto verdict = Judge(mTally, submission.mRequest, aResult, wasLost);
  Count(mTally,
        submission.mRequest,
        mSettings.Teams()[submission.mRequest.mTeam].Team().Text(),
        verdict,
        submission.mCallLost,
        IsInWindow(submission.mStartedAt));
  if (!submission.mIsTwin) {
    After(mSettings.ThinkTime(), [this] { NextOfCaller(); });
  }
}

void
LoadRun::After(Time aDelay, std::function<void()> aThen)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(
    mContext, std::chrono::milliseconds(aDelay.Milliseconds()));
  timer->async_wait([timer, then = std::move(aThen)](const boost::system::error_code& aError) {
    if (!aError) {
      then();
    }
  });
}

bool
LoadRun::IsInWindow(Time aStartedAt) const
{
  const auto since = aStartedAt - mStart;
  return since >= mSettings.WindowFrom() && since < mSettings.WindowTo();
}

} // namespace by::load
