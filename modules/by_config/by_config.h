#pragma once

/// Module by_config
///
/// Purpose: folds published configurations from the log.
/// Dependencies: by_core, by_schema.

#include "by_config/ApplyConfigPublish.h"
#include "by_config/ConfigFold.h"
