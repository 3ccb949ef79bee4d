#pragma once

#include <vector>

#include "by_schema/EntryEffect.h"

namespace by {

/// What a step wants done, in order.
using Effects = std::vector<EntryEffect>;

} // namespace by
