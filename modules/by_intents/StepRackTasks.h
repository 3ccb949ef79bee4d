#pragma once

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_intents/RackTaskActions.h"
#include "by_intents/RackTasks.h"
#include "by_intents/RackTasksContext.h"

namespace by {

/// Turns the live assignments on owned racks into offers, starts, stops and reports. A rack that is
/// no longer owned is removed with its tasks, which continue to run under their new owner.
/// @returns the actions to carry out.
RackTaskActions
StepRackTasks(RackTasks& aTasks,
              const IntentTable& aTable,
              const RackTasksContext& aContext,
              Time aNow);

} // namespace by
