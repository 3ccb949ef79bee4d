#pragma once

/// Module by_crashes
///
/// Purpose: what follows from the crash of a worker for the tasks that ran on it, as functions of
/// plain values: which of them may have caused it, which are tried again alone, where, and which
/// are given up. docs/notes-crashes.md has the rules. Dependencies: by_core.

#include "by_crashes/CrashAttribution.h"
#include "by_crashes/CrashEvidence.h"
#include "by_crashes/CrashHistories.h"
#include "by_crashes/CrashHistory.h"
#include "by_crashes/CrashRole.h"
#include "by_crashes/CrashedRun.h"
#include "by_crashes/PoolCrashes.h"
#include "by_crashes/RunAtCrash.h"
#include "by_crashes/TrialHost.h"
#include "by_crashes/TrialHosts.h"
#include "by_crashes/WideLoss.h"
