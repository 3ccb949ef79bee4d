#pragma once

#include <vector>

#include "by_schema/EntryEffect.h"

namespace by {

/// The actions that a handler requests, in the order in which they have to be performed.
using Effects = std::vector<EntryEffect>;

} // namespace by
