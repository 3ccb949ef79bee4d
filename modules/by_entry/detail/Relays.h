#pragma once

#include <string>

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/RelayAnswers.h"

namespace by::detail {

/// Replaces the owner's orders among the effects of a step by messages to the nodes that relay
/// them. Does nothing while the cell has few workers.
void
RelayWorkerOrders(EntryState& aState, Time aNow, Effects& aOut);

/// Handles the answers that a relay returns to the owner. Answers to orders that are no longer open
/// are dropped.
void
HandleRelayAnswers(EntryState& aState,
                   const std::string& aRelay,
                   const RelayAnswers& aAnswers,
                   Time aNow,
                   Effects& aOut);

/// Settles the orders that a lost node would have relayed.
void
HandleRelayLost(EntryState& aState, const std::string& aRelay, Time aNow, Effects& aOut);

/// Settles the orders whose relays did not answer in time or have fallen silent.
void
ExpireRelayedOrders(EntryState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
