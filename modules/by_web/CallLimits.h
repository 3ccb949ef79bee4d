#pragma once

#include <cstddef>

#include <optional>

#include "by_schema/ConnectionLimits.h"
#include "by_web/CallProgress.h"
#include "by_web/ConnectionPhase.h"
#include "by_web/Refusal.h"

namespace by {

/// @returns the limits with defaults in place of those that the configuration does not set.
ConnectionLimits
WithDefaults(const ConnectionLimits& aLimits);

/// @returns how many bytes a call may have beside its header and its body: the sizes and extensions
/// of chunks, and trailers.
/// @param aBody bytes of the body that have arrived.
std::size_t
FramingLimit(const ConnectionLimits& aLimits, std::size_t aBody);

/// @returns how long a connection may stay in a phase, or nothing where it may for any time.
std::optional<Time>
TimeLimit(ConnectionPhase aPhase, const ConnectionLimits& aLimits);

/// @returns what to report of a connection that is closed since it stayed in a phase for too long,
/// or nothing where that is no limit of callers.
std::optional<Refusal>
RefusalOfTimeout(ConnectionPhase aPhase);

/// @returns the phase of a connection whose call has not arrived completely.
ConnectionPhase
PhaseOf(CallProgress aProgress);

} // namespace by
