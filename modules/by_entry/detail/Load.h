#pragma once

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"

namespace by::detail {

/// Updates whether this node is overloaded.
/// @param aQueueDelay the longest time that an event has waited since the last update.
void
UpdateLoad(EntryState& aState, Time aQueueDelay, Time aNow, Effects& aOut);

/// @returns whether this node owns the cell and is too far behind to take new jobs.
bool
IsOverloadedOwner(const EntryState& aState);

/// @returns whether this owner refuses a request because it is overloaded. Queries, cancellations
/// and submissions of known jobs are served.
bool
IsRefusedAsOverloaded(const EntryState& aState, const CellRequest& aRequest);

/// @returns why a call is refused before it is forwarded; null if it is not. Calls that were
/// forwarded before are not refused, since they may have been carried out.
const char*
RefusalReason(const EntryState& aState, const OpenCall& aCall, Time aNow);

/// @returns when a refused caller should retry, as a delay. It grows with the time that the owner
/// is behind and differs between callers, so that they do not come back together.
/// @param aCall the number of the call.
Time
RetryDelay(const EntryState& aState, std::uint64_t aCall, Time aNow);

} // namespace by::detail
