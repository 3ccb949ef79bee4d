#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/RelayOrders.h"
#include "by_schema/WorkerAnswer.h"

namespace by::detail {

/// Sends the orders that the owner asked this node to relay.
void
PerformRelayOrders(const RelayOrders& aOrders, Effects& aOut);

/// Keeps a worker's answer for the owner that asked this node to relay the order. Answers leave
/// together: those that the owner acts on after a few milliseconds, others later.
void
KeepRelayedAnswer(EntryState& aState, WorkerAnswer aAnswer, Time aNow);

/// Returns the kept answers to the owner when they are due.
void
ReturnRelayedAnswers(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
