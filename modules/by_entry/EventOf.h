#pragma once

#include <utility>

#include "by_schema/EntryEvent.h"

namespace by {

/// @returns the event with this body.
template<class Body>
EntryEvent
EventOf(Body aBody)
{
  return EntryEvent::Create({ .mBody = std::move(aBody) }).value();
}

} // namespace by
