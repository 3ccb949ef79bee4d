#pragma once

#include <memory>
#include <string>

#include "by_json/by_json.h"
#include "by_web/WebRequest.h"
#include "by_web/WebSession.h"

namespace by::standins {

/// Status codes of the stand-ins' answers.
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;

/// Answers with a value as JSON.
template<class T>
void
AnswerWith(const std::shared_ptr<WebSession>& aSession, const T& aValue)
{
  aSession->Answer(kOk, WriteJsonText(aValue, Secrets::Shown));
}

/// Answers with an error and one sentence.
inline void
AnswerError(const std::shared_ptr<WebSession>& aSession,
            unsigned aStatusCode,
            const std::string& aDetail)
{
  aSession->Answer(aStatusCode, WriteJson(boost::json::object{ { "error", aDetail } }));
}

/// Reads the body of a call, or answers 400 with the findings.
/// @returns whether the value was read.
template<class T>
bool
ReadOrRefuse(const WebRequest& aIncoming, const std::shared_ptr<WebSession>& aSession, T& aValue)
{
  auto read = ReadJsonText<T>(aIncoming.mBody);
  if (!read.ok()) {
    AnswerError(aSession, kBadRequest, std::string(read.status().message()));
    return false;
  }
  aValue = *std::move(read);
  return true;
}

} // namespace by::standins
