#pragma once

#include <vector>

#include "by_requests/RequestActions.h"
#include "by_scheduling/ScheduleOutcome.h"

namespace by {

class TaskAnswered;
class TaskUnanswered;

namespace detail {

struct StepWork;

/// Carries out the actions of the request module and all actions that result from them.
void
Apply(StepWork& aWork, RequestActions aActions);

/// Delivers each part of a scheduling outcome to the request or intent concerned.
void
Apply(StepWork& aWork, const ScheduleOutcome& aOutcome);

/// Places waiting work after capacity may have become free.
void
DispatchWork(StepWork& aWork);

/// Handles a backend server's answer to a start.
void
ObserveTaskAnswered(StepWork& aWork, const TaskAnswered& aAnswered);

/// Handles a start that a backend server did not answer.
void
ObserveTaskUnanswered(StepWork& aWork, const TaskUnanswered& aUnanswered);

} // namespace detail
} // namespace by
