#pragma once

#include "by_core/Identifier.h"
#include "by_log_state/ApplyResult.h"

namespace by {

class OperatorCall;

namespace detail {

struct StepWork;

/// Carries out an operator's call, or appends what it wants and waits for the log.
void
ObserveOperatorCall(StepWork& aWork, const OperatorCall& aCall);

/// Answers the call whose record the log shows.
void
AnswerCallForRecord(StepWork& aWork, const RecordId& aRecord, const ApplyResult& aResult);

/// Answers the call whose record was certainly not appended.
void
RefuseCallForRecord(StepWork& aWork, const RecordId& aRecord);

/// Answers the calls whose time has passed: nobody can say whether their change was taken.
void
ExpireCalls(StepWork& aWork);

} // namespace detail
} // namespace by
