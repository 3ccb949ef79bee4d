#include "by_client/CallEffect.h"

namespace by {

namespace {

constexpr std::int64_t kOk = 200;
constexpr std::int64_t kFirstClientError = 400;
constexpr std::int64_t kFirstServerError = 500;
constexpr std::int64_t kServiceUnavailable = 503;

} // namespace

bool
MayHaveTakenEffect(const HttpResult& aResult)
{
  if (aResult.Outcome() != CallOutcome::Completed) {
    return aResult.Outcome() == CallOutcome::Lost;
  }
  const auto code = aResult.StatusCode();
  const bool isRefused =
    (code >= kFirstClientError && code < kFirstServerError) || code == kServiceUnavailable;
  return !isRefused;
}

bool
IsOk(const HttpResult& aResult)
{
  return aResult.Outcome() == CallOutcome::Completed && aResult.StatusCode() == kOk;
}

} // namespace by
