#pragma once

/// Module by_scheduling
///
/// Purpose: decides where work starts and which work is queued, preempted or refused.
/// Dependencies: by_core, by_schema, by_placement, by_sharing, by_admission.

#include "by_placement/CanEverFit.h"
#include "by_placement/VmHealth.h"
#include "by_scheduling/DispatchWork.h"
#include "by_scheduling/PolicyFrom.h"
#include "by_scheduling/ReserveGang.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_scheduling/SetTeams.h"
#include "by_scheduling/SubmitGang.h"
#include "by_scheduling/SubmitWork.h"
#include "by_scheduling/Summarise.h"
#include "by_scheduling/TaskEnds.h"
#include "by_scheduling/VmAuthority.h"
