#pragma once

#include "by_core/Identifier.h"
#include "by_log_state/ApplyResult.h"

namespace by {

class OperatorCall;

namespace detail {

struct StepWork;

/// Answers an operator's call, or queues its record and answers once the record appears in the log.
void
ObserveOperatorCall(StepWork& aWork, const OperatorCall& aCall);

/// Answers the call whose record appeared in the log.
void
AnswerCallForRecord(StepWork& aWork, const RecordId& aRecord, const ApplyResult& aResult);

/// Answers the call whose record was certainly not appended.
void
RefuseCallForRecord(StepWork& aWork, const RecordId& aRecord);

/// Answers calls whose deadline has passed; whether their change was accepted is unknown.
void
ExpireCalls(StepWork& aWork);

} // namespace detail
} // namespace by
