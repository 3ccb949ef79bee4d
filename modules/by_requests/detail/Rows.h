#pragma once

#include <cstdint>
#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_requests/RequestActions.h"
#include "by_schema/Answer.h"
#include "by_schema/ClaimKey.h"
#include "by_schema/Outcome.h"
#include "by_schema/Reason.h"
#include "by_schema/RequestRow.h"

namespace by {

class Request;
struct RequestBook;
struct RequestContext;

namespace detail {

/// Hashes the kind and payload of a request; the result is the same on every node.
std::uint64_t
DigestOf(const Request& aRequest);

/// @returns the key of the request's claim in the log.
ClaimKey
KeyOf(const Request& aRequest);

/// Finds the row of a request.
/// @returns the row, or nullptr. The pointer is valid until the next PutRow() or RemoveRow().
const RequestRow*
FindRow(const RequestBook& aBook, const RequestId& aRequest);

/// Adds a row or replaces the one of the same request, and schedules its next check.
void
PutRow(RequestBook& aBook, const RequestRow& aRow);

/// Removes a row without sending an answer.
void
RemoveRow(RequestBook& aBook, const RequestRow& aRow);

/// Builds an answer without a result.
Answer
AnswerWithoutResult(const RequestRow& aRow, Outcome aOutcome, Reason aReason, std::string aDetail);

/// Sends the answer of a request to its caller, unless the caller is gone, or to the node that
/// forwarded it, and to all waiting repeats. Keeps the answer for later repeats and removes the
/// row. The claim of a request that was not run is released.
void
Finish(RequestBook& aBook,
       const RequestContext& aContext,
       const RequestRow& aRow,
       const Answer& aAnswer,
       Time aNow,
       RequestActions& aActions);

/// Sends an answer to a waiting repeat on this node or on another one.
void
AnswerWaiter(const RequestContext& aContext,
             const RequestWaiter& aWaiter,
             const Answer& aAnswer,
             RequestActions& aActions);

/// Drops the oldest kept answer. There must be at least one.
void
DropOldestAnswer(RequestBook& aBook);

/// Keeps an answer for repeated requests, and drops the oldest answers if there are too many. The
/// answer of an idempotent request is kept only if another node forwarded it.
void
KeepAnswer(RequestBook& aBook, const RequestRow& aRow, const Answer& aAnswer, Time aNow);

} // namespace detail
} // namespace by
