#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "by_json/Secrets.h"
#include "by_schema/Answer.h"
#include "by_schema/HttpReply.h"
#include "by_schema/OperatorReply.h"

namespace by {

/// Builds a reply that says what was wrong.
/// @param aCode a short name that programs can compare.
/// @param aError one sentence for people.
HttpReply
ErrorReply(std::int64_t aStatus, std::string_view aCode, std::string aError);

/// Builds the reply to a caller's request.
HttpReply
ReplyToCaller(const Answer& aAnswer);

/// Builds the reply to an operator's call.
/// @param aSecrets whether secret fields, such as the teams' tokens, are written.
HttpReply
ReplyToOperator(const OperatorReply& aReply, Secrets aSecrets = Secrets::Hidden);

/// @returns the HTTP status for what became of a request.
std::int64_t
StatusOf(const Answer& aAnswer);

/// @returns the HTTP status for how an operator's call ended.
std::int64_t
StatusOf(ReplyCode aCode);

} // namespace by
