#pragma once

#include "by_schema/ConfigRow.h"

namespace by {

/// The configuration folded from the log.
struct ConfigFold
{
  /// The active version; version zero holds the defaults.
  ConfigRow mCurrent;
};

} // namespace by
