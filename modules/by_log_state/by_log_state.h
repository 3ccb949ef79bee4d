#pragma once

/// Module by_log_state
///
/// Purpose: combines the folds into the single state that every node reads from the log.
/// Dependencies: by_config, by_claims, by_intents.

#include "by_log_state/ApplyEntry.h"
#include "by_log_state/ApplyRackRecords.h"
#include "by_log_state/ApplyResult.h"
#include "by_log_state/FoldLimits.h"
#include "by_log_state/LogRecordBody.h"
#include "by_log_state/LogState.h"
#include "by_log_state/LogStateImages.h"
#include "by_log_state/RackOwners.h"
#include "by_log_state/RecentRecords.h"
#include "by_log_state/SnapshotAssembly.h"
#include "by_log_state/SnapshotProgress.h"
#include "by_log_state/SnapshotSchedule.h"
#include "by_log_state/Snapshots.h"
