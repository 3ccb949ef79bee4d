#pragma once

/// Module by_intents
///
/// Purpose: folds intents from the log, plans them, and decides the next actions for their tasks.
/// Dependencies: by_core, by_schema.

#include "by_intents/ApplyIntentEntry.h"
#include "by_intents/FindIntent.h"
#include "by_intents/IntentController.h"
#include "by_intents/IntentRows.h"
#include "by_intents/IntentTable.h"
#include "by_intents/MakePlan.h"
#include "by_intents/ObserveTasks.h"
#include "by_intents/RackTasks.h"
#include "by_intents/StepController.h"
#include "by_intents/StepRackTasks.h"
#include "by_intents/TaskNames.h"
