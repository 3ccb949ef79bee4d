#pragma once

#include <optional>

#include "by_cell/Effects.h"
#include "by_entry/EntryState.h"
#include "by_schema/LinkHeartbeat.h"

namespace by::detail {

/// Replaces what is known of teams that exceed their rate by what a heartbeat of the owner says.
/// Nothing is forwarded over a new link, or to a new owner, before its first heartbeat, so that
/// what an earlier one said never applies there.
void
TakeTeamLoads(EntryState& aState, const LinkHeartbeat& aHeartbeat, Time aNow);

/// Decides whether a submission is refused before it is forwarded, since its team exceeds its rate.
/// One that was forwarded before is not, since it may have been carried out, and neither is
/// anything once the owner has been silent for some time.
/// @returns when the caller of a refused submission should retry, as a delay; empty if the call is
/// not refused.
std::optional<Time>
ThrottleSubmission(EntryState& aState, const OpenCall& aCall, Time aNow, Effects& aOut);

} // namespace by::detail
