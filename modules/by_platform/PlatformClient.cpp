#include "by_platform/PlatformClient.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_client/CallEffect.h"
#include "by_json/by_json.h"
#include "by_json/generated/common_json.h"
#include "by_json/generated/platform_json.h"
#include "by_platform/LogCodec.h"
#include "by_runtime/MachineClock.h"

namespace by {

namespace {

constexpr std::int64_t kConnections = 16;
constexpr std::int64_t kReadLimit = 512;
constexpr auto kReadRetryDelay = std::chrono::milliseconds(200);

std::string
DetailOf(const HttpResult& aResult)
{
  return aResult.Outcome() == CallOutcome::Completed
           ? absl::StrCat("the platform answered ", aResult.StatusCode())
           : aResult.Detail();
}

NodeEvent::Fields
AppendEventOf(std::vector<RecordId> aRecords, const HttpResult& aResult)
{
  if (IsOk(aResult)) {
    const auto result = ReadJsonText<AppendResult>(aResult.Body());
    if (result.ok()) {
      return { .mBody = AppendDone::Create({ .mRecords = std::move(aRecords),
                                             .mFirstOffset = result->FirstOffset() })
                          .value() };
    }
  }
  return { .mBody = AppendFailed::Create({ .mRecords = std::move(aRecords),
                                           .mMayHaveTakenEffect = MayHaveTakenEffect(aResult) })
                      .value() };
}

} // namespace

absl::StatusOr<std::unique_ptr<PlatformClient>>
PlatformClient::Create(boost::asio::io_context& aContext,
                       const PlatformSettings& aSettings,
                       Deliver aDeliver)
{
  auto checked = PlatformSettings::Create(aSettings.ToFields());
  if (!checked.ok()) {
    return checked.status();
  }
  auto http = HttpClient::Create(
    aContext, HttpClientSettings::Create({ .mMaxConnections = kConnections }).value());
  if (!http.ok()) {
    return http.status();
  }
  return std::unique_ptr<PlatformClient>(
    new PlatformClient(aContext, *checked, *std::move(http), std::move(aDeliver)));
}

PlatformClient::PlatformClient(boost::asio::io_context& aContext,
                               const PlatformSettings& aSettings,
                               std::unique_ptr<HttpClient> aHttp,
                               Deliver aDeliver)
  : mSettings(aSettings)
  , mHttp(std::move(aHttp))
  , mDeliver(std::move(aDeliver))
  , mReadTimer(aContext)
  , mListTimer(aContext)
{
}

HttpCall
PlatformClient::CallOf(HttpMethod aMethod, std::string aTarget, Time aTimeout) const
{
  return HttpCall::Create({ .mEndpoint = mSettings.Endpoint(),
                            .mMethod = aMethod,
                            .mTarget = std::move(aTarget),
                            .mTimeout = aTimeout })
    .value();
}

void
PlatformClient::DeliverBody(decltype(NodeEvent::Fields::mBody) aBody)
{
  mDeliver(NodeEvent::Create({ .mBody = std::move(aBody) }).value());
}

void
PlatformClient::Append(const AppendRecords& aRecords)
{
  if (!mHttp) {
    return;
  }
  std::vector<RecordId> ids;
  ids.reserve(aRecords.Records().size());
  for (const auto& record : aRecords.Records()) {
    ids.push_back(record.Id());
  }
  auto call = CallOf(HttpMethod::Post, "/v1/log/append", mSettings.CallTimeout())
                .WithBody(WriteJsonText(EncodeAppend(aRecords.Records()), Secrets::Shown));
  auto answered = [this, ids = std::move(ids)](std::uint64_t, const HttpResult& aResult) {
    DeliverBody(AppendEventOf(ids, aResult).mBody);
  };
  mHttp->Send(std::move(call), std::move(answered));
}

void
PlatformClient::ReadFrom(std::uint64_t aOffset)
{
  if (!mHttp) {
    return;
  }
  mOffset = aOffset;
  const auto old = std::exchange(mReadCall, 0);
  mHttp->Cancel(old);
  mReadTimer.cancel();
  Read();
}

void
PlatformClient::Read()
{
  auto target = absl::StrCat("/v1/log/read?from=",
                             mOffset,
                             "&limit=",
                             kReadLimit,
                             "&wait_ms=",
                             mSettings.ReadWait().Milliseconds());
  const auto timeout = mSettings.ReadWait() + mSettings.CallTimeout();
  auto answered = [this, sentAt = MachineNow()](std::uint64_t aNumber, const HttpResult& aResult) {
    if (aNumber == mReadCall) {
      OnRead(aResult, sentAt);
    }
  };
  mReadCall = mHttp->Send(CallOf(HttpMethod::Get, std::move(target), timeout), std::move(answered));
}

void
PlatformClient::OnRead(const HttpResult& aResult, Time aSentAt)
{
  if (!IsOk(aResult)) {
    RetryRead(DetailOf(aResult));
    return;
  }
  const auto result = ReadJsonText<ReadResult>(aResult.Body());
  if (!result.ok()) {
    RetryRead(std::string(result.status().message()));
    return;
  }
  mOffset = result->Records().empty() ? std::max(mOffset, result->FirstAvailable())
                                      : result->Records().back().Offset() + 1;
  Read();
  DeliverBody(DecodeRead(*result).WithSentAt(aSentAt));
}

void
PlatformClient::RetryRead(const std::string& aDetail)
{
  mReadCall = 0;
  mReadTimer.expires_after(kReadRetryDelay);
  mReadTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && mHttp) {
      Read();
    }
  });
  DeliverBody(LogReadFailed::Create({ .mDetail = aDetail }).value());
}

void
PlatformClient::StartList()
{
  if (mHttp) {
    ReadList();
  }
}

void
PlatformClient::ReadList()
{
  mListTimer.expires_after(std::chrono::milliseconds(mSettings.ListInterval().Milliseconds()));
  mListTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && mHttp) {
      ReadList();
    }
  });
  mHttp->Send(CallOf(HttpMethod::Get, "/v1/vms", mSettings.CallTimeout()),
              [this](std::uint64_t, const HttpResult& aResult) { OnList(aResult); });
}

void
PlatformClient::OnList(const HttpResult& aResult)
{
  if (!IsOk(aResult)) {
    return;
  }
  auto list = ReadJsonText<VmList>(aResult.Body());
  if (list.ok()) {
    DeliverBody(VmListRead::Create({ .mList = *std::move(list) }).value());
  }
}

void
PlatformClient::Stop()
{
  mReadTimer.cancel();
  mListTimer.cancel();
  mHttp.reset();
}

} // namespace by
