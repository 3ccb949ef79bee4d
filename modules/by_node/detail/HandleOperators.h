#pragma once

#include "by_core/Identifier.h"
#include "by_log_state/ApplyResult.h"

namespace by {

class OperatorCall;

namespace detail {

struct StepWork;

/// Handles an operator's call, or appends its record and waits for it to appear in the log.
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
