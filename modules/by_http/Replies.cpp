#include "by_http/Replies.h"

#include <utility>
#include <variant>

#include "by_json/JsonText.h"
#include "by_json/generated/api_json.h"
#include "by_json/generated/intents_json.h"
#include "by_json/generated/node_json.h"
#include "by_json/generated/requests_json.h"

namespace by {

namespace {

constexpr auto kRetryAfter = Time::FromSeconds(1);

std::int64_t
StatusOfNotRun(Reason aReason)
{
  switch (aReason) {
    case Reason::Invalid:
      return 400;
    case Reason::LabelReused:
    case Reason::Cancelled:
      return 409;
    case Reason::TooOld:
      return 410;
    case Reason::NeverFits:
      return 422;
    case Reason::Quota:
      return 429;
    default:
      return 503;
  }
}

Time
RetryAfter(std::int64_t aStatus)
{
  return aStatus == 503 || aStatus == 429 ? kRetryAfter : Time();
}

std::string
BodyOf(const OperatorReply& aReply, Secrets aSecrets)
{
  return std::visit([aSecrets](const auto& aBody) { return WriteJsonText(aBody, aSecrets); },
                    aReply.Body());
}

} // namespace

HttpReply
ErrorReply(std::int64_t aStatus, std::string_view aCode, std::string aError)
{
  const auto body =
    ErrorBody::Create({ .mError = std::move(aError), .mCode = std::string(aCode) }).value();
  return HttpReply::Create(
           { .mStatus = aStatus, .mBody = WriteJsonText(body), .mRetryAfter = RetryAfter(aStatus) })
    .value();
}

std::int64_t
StatusOf(const Answer& aAnswer)
{
  switch (aAnswer.Outcome()) {
    case Outcome::Answered:
      return 200;
    case Outcome::NotRun:
      return StatusOfNotRun(aAnswer.Reason());
    case Outcome::Unknown:
      break;
  }
  return 504;
}

std::int64_t
StatusOf(ReplyCode aCode)
{
  switch (aCode) {
    case ReplyCode::Ok:
      return 200;
    case ReplyCode::NotFound:
      return 404;
    case ReplyCode::Conflict:
      return 409;
    case ReplyCode::Invalid:
      return 400;
    case ReplyCode::Unavailable:
      return 503;
    case ReplyCode::Forbidden:
      return 403;
    case ReplyCode::Unknown:
      break;
  }
  return 504;
}

HttpReply
ReplyToCaller(const Answer& aAnswer)
{
  const auto status = StatusOf(aAnswer);
  return HttpReply::Create({ .mStatus = status,
                             .mBody = WriteJsonText(aAnswer),
                             .mRequest = aAnswer.Request(),
                             .mRetryAfter = RetryAfter(status) })
    .value();
}

HttpReply
ReplyToOperator(const OperatorReply& aReply, Secrets aSecrets)
{
  if (aReply.Code() != ReplyCode::Ok) {
    return ErrorReply(StatusOf(aReply.Code()), ToString(aReply.Code()), aReply.Detail());
  }
  return HttpReply::Create({ .mBody = BodyOf(aReply, aSecrets) }).value();
}

} // namespace by
