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

/// Hashes what a request asks for, the same on every node.
std::uint64_t
DigestOf(const Request& aRequest);

/// @returns the key of a request's claim.
ClaimKey
KeyOf(const Request& aRequest);

/// Finds a row.
/// @returns a copy of it, or null; rows are replaced by PutRow().
const RequestRow*
FindRow(const RequestBook& aBook, const RequestId& aRequest);

/// Puts a row in place of the one with the same request, with its next check.
void
PutRow(RequestBook& aBook, const RequestRow& aRow);

/// Takes a row out without an answer.
void
RemoveRow(RequestBook& aBook, const RequestRow& aRow);

/// Builds an answer that holds no result.
Answer
AnswerWithoutResult(const RequestRow& aRow, Outcome aOutcome, Reason aReason, std::string aDetail);

/// Gives a request its one answer: to its caller or the node that handed it over, and to every
/// repeat that waits; the row is gone then. A claim whose work did not run is released.
void
Finish(RequestBook& aBook,
       const RequestContext& aContext,
       const RequestRow& aRow,
       const Answer& aAnswer,
       Time aNow,
       RequestActions& aActions);

/// Answers a waiting repeat, here or on another node.
void
AnswerWaiter(const RequestContext& aContext,
             const RequestWaiter& aWaiter,
             const Answer& aAnswer,
             RequestActions& aActions);

/// Drops the answer that was kept longest; there must be one.
void
DropOldestAnswer(RequestBook& aBook);

/// Keeps an answer for repeats and drops the oldest where there are too many.
void
KeepAnswer(RequestBook& aBook, const RequestRow& aRow, const Answer& aAnswer, Time aNow);

} // namespace detail
} // namespace by
