#pragma once

#include <string_view>

#include "by_cell/Effects.h"
#include "by_core/Time.h"
#include "by_entry/EntryState.h"

namespace by::detail {

/// Recovers from an unexpected error while an event was handled. The tables of a cell may be
/// inconsistent then, so an owner discards the cell; it is claimed and loaded again. Calls to the
/// store whose answers may have been lost are made again, and the callers' requests stay open.
/// @param aError what was thrown, for the log line.
void
RecoverFromError(EntryState& aState, std::string_view aError, Time aNow, Effects& aOut);

} // namespace by::detail
