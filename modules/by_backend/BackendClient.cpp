#include "by_backend/BackendClient.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "by_client/CallEffect.h"
#include "by_json/by_json.h"
#include "by_json/generated/backend_json.h"
#include "by_runtime/MachineClock.h"

namespace by {

namespace {

using EventBody = decltype(NodeEvent::Fields::mBody);

std::unique_ptr<HttpClient>
ClientWith(boost::asio::io_context& aContext, std::int64_t aConnections)
{
  const auto settings = HttpClientSettings::Create({ .mMaxConnections = aConnections });
  return HttpClient::Create(aContext, settings.value()).value();
}

HttpCall
PostTo(const Endpoint& aEndpoint, std::string aTarget, std::string aBody, Time aTimeout)
{
  return HttpCall::Create({ .mEndpoint = aEndpoint,
                            .mMethod = HttpMethod::Post,
                            .mTarget = std::move(aTarget),
                            .mBody = std::move(aBody),
                            .mTimeout = aTimeout })
    .value();
}

EventBody
LeaseEventOf(const VmId& aVm, std::uint64_t aEpoch, Time aSentAt, const HttpResult& aResult)
{
  if (IsOk(aResult)) {
    auto grant = ReadJsonText<LeaseGrant>(aResult.Body());
    if (grant.ok()) {
      return LeaseAnswered::Create(
               { .mVm = aVm, .mEpoch = aEpoch, .mSentAt = aSentAt, .mGrant = *std::move(grant) })
        .value();
    }
  }
  return LeaseFailed::Create({ .mVm = aVm }).value();
}

EventBody
Unanswered(const VmId& aVm, const TaskStart& aStart, bool aMayHaveStarted, std::string aDetail)
{
  return TaskUnanswered::Create({ .mVm = aVm,
                                  .mTask = aStart.Task(),
                                  .mGeneration = aStart.Generation(),
                                  .mMayHaveStarted = aMayHaveStarted,
                                  .mDetail = std::move(aDetail) })
    .value();
}

EventBody
TaskEventOf(const VmId& aVm, const TaskStart& aStart, const HttpResult& aResult)
{
  if (!IsOk(aResult)) {
    auto detail = aResult.Outcome() == CallOutcome::Completed
                    ? absl::StrCat("the backend server answered ", aResult.StatusCode())
                    : aResult.Detail();
    return Unanswered(aVm, aStart, MayHaveTakenEffect(aResult), std::move(detail));
  }
  auto result = ReadJsonText<TaskResult>(aResult.Body());
  if (!result.ok()) {
    return Unanswered(aVm, aStart, true, "the answer is malformed");
  }
  if (result->Task() != aStart.Task() || result->Generation() != aStart.Generation()) {
    return Unanswered(aVm, aStart, true, "the answer is to another start");
  }
  return TaskAnswered::Create({ .mVm = aVm, .mResult = *std::move(result) }).value();
}

} // namespace

absl::StatusOr<std::unique_ptr<BackendClient>>
BackendClient::Create(boost::asio::io_context& aContext,
                      const BackendClientSettings& aSettings,
                      Deliver aDeliver)
{
  auto checked = BackendClientSettings::Create(aSettings.ToFields());
  if (!checked.ok()) {
    return checked.status();
  }
  std::unique_ptr<BackendClient> client(new BackendClient(*checked, std::move(aDeliver)));
  client->mLeases = ClientWith(aContext, checked->LeaseConnections());
  client->mStarts = ClientWith(aContext, checked->StartConnections());
  client->mCommands = ClientWith(aContext, checked->CommandConnections());
  return client;
}

BackendClient::BackendClient(const BackendClientSettings& aSettings, Deliver aDeliver)
  : mSettings(aSettings)
  , mDeliver(std::move(aDeliver))
{
}

void
BackendClient::DeliverBody(EventBody aBody)
{
  mDeliver(NodeEvent::Create({ .mBody = std::move(aBody) }).value());
}

void
BackendClient::Lease(const SendLease& aSend)
{
  if (!mLeases) {
    return;
  }
  const auto sentAt = MachineNow();
  auto answered = [this, vm = aSend.Vm(), epoch = aSend.Request().Epoch(), sentAt](
                    std::uint64_t, const HttpResult& aResult) {
    DeliverBody(LeaseEventOf(vm, epoch, sentAt, aResult));
  };
  mLeases->Send(PostTo(aSend.Endpoint(),
                       "/v1/lease",
                       WriteJsonText(aSend.Request(), Secrets::Shown),
                       mSettings.LeaseTimeout()),
                std::move(answered));
}

void
BackendClient::Start(const SendStart& aSend)
{
  if (!mStarts) {
    return;
  }
  const auto timeout = aSend.WaitForEnd() ? mSettings.RunTimeout() : mSettings.StartTimeout();
  auto call =
    PostTo(aSend.Endpoint(), "/v1/start", WriteJsonText(aSend.Start(), Secrets::Shown), timeout);
  auto answered = [this, vm = aSend.Vm(), start = aSend.Start().WithPayload("")](
                    std::uint64_t, const HttpResult& aResult) {
    DeliverBody(TaskEventOf(vm, start, aResult));
  };
  mStarts->Send(std::move(call), std::move(answered));
}

void
BackendClient::Command(const SendCommand& aSend)
{
  if (!mCommands) {
    return;
  }
  mCommands->Send(PostTo(aSend.Endpoint(),
                         "/v1/command",
                         WriteJsonText(aSend.Command(), Secrets::Shown),
                         mSettings.CommandTimeout()),
                  [](std::uint64_t, const HttpResult&) {});
}

void
BackendClient::Stop()
{
  mLeases.reset();
  mStarts.reset();
  mCommands.reset();
}

} // namespace by
