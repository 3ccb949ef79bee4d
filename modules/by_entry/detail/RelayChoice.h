#pragma once

#include <string>

#include "by_entry/EntryState.h"
#include "by_schema/OrderOutcome.h"

namespace by::detail {

/// Checks whether a member has been silent for much longer than the last one heard. An owner that
/// is behind thus does not take all of its members for silent.
bool
IsSilent(const EntryState& aState, const MemberRow& aMember);

/// Selects the node that relays the orders to a worker; it stays the same while it is usable.
/// @returns the node; empty if this node calls the worker itself.
const std::string&
RelayOf(EntryState& aState, const std::string& aWorker);

/// Remembers whether a relay could reach a worker, so that the next order takes another way if it
/// could not.
void
NoteReachability(EntryState& aState,
                 const std::string& aWorker,
                 const std::string& aRelay,
                 OrderOutcome aOutcome);

/// Distributes the workers over the relays anew, because a member has linked.
void
RebalanceRelays(EntryState& aState);

} // namespace by::detail
