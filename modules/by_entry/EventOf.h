#pragma once

#include <utility>

#include "by_schema/EntryEvent.h"

namespace by {

/// Wraps an event body in an event.
/// @returns the event.
template<class Body>
EntryEvent
EventOf(Body aBody)
{
  return EntryEvent::Create({ .mBody = std::move(aBody) }).value();
}

} // namespace by
