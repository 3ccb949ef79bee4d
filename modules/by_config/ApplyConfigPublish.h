#pragma once

#include "by_core/Time.h"

namespace by {

struct ConfigFold;
class ConfigPublish;
class ConfigRow;

/// Activates a published configuration.
/// @param aAt when the platform accepted the record.
/// @returns false without a change if the base version is not the current one.
bool
ApplyConfigPublish(ConfigFold& aFold, const ConfigPublish& aChange, Time aAt);

/// Restores a configuration from an image.
/// @returns false without a change if the row is not newer than the active configuration.
bool
RestoreConfig(ConfigFold& aFold, const ConfigRow& aRow);

} // namespace by
