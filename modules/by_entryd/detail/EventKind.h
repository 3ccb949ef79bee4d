#pragma once

#include "by_schema/EntryEvent.h"

namespace by::detail {

/// @returns the kind of an event as metrics name it; messages of nodes are kinds of their own.
const char*
EventKind(const EntryEvent& aEvent);

} // namespace by::detail
