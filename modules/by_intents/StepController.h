#pragma once

#include <variant>
#include <vector>

#include "by_core/Time.h"
#include "by_intents/IntentContext.h"
#include "by_intents/IntentController.h"
#include "by_intents/IntentTable.h"
#include "by_schema/GangDecision.h"
#include "by_schema/TaskAssignments.h"

namespace by {

/// The body of a log record that the controller proposes.
using ControllerRecord = std::variant<TaskAssignments, GangDecision>;

/// Decides which tasks are assigned to which rack and which gangs start. Any node may run the
/// controller; for each intent, rendezvous hashing selects the live node that writes.
/// @returns the bodies of the records to append.
std::vector<ControllerRecord>
StepController(IntentController& aController,
               const IntentTable& aTable,
               const IntentContext& aContext,
               Time aNow);

} // namespace by
