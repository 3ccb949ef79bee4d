#pragma once

/// Module by_queueing
///
/// Purpose: queueing, rejection and placement under overload, as functions of plain values: when
/// rejected callers return, how long a request waits without an owner, which workers an advice
/// query lists, which capacity is reserved for gangs, and which submissions exceed the rate of
/// their team. docs/notes-queueing.md names the load pattern that each function answers.
/// Dependencies: by_core.

#include "by_queueing/AdviceCandidate.h"
#include "by_queueing/AdviceCost.h"
#include "by_queueing/AdviceRound.h"
#include "by_queueing/GangReservation.h"
#include "by_queueing/GangRound.h"
#include "by_queueing/OwnerWait.h"
#include "by_queueing/RefusedBacklog.h"
#include "by_queueing/RetryDelay.h"
#include "by_queueing/SlotForecast.h"
#include "by_queueing/TeamDemand.h"
#include "by_queueing/TeamRate.h"
#include "by_queueing/TokenBucket.h"
